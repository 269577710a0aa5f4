#include "net/wire_conversion.h"
#include "net/wire_readers.h"
#include "net/wire_values.h"

#include <utility>

namespace dandelionfall::net {

namespace {

using core::Duration;

wire::Capacity toWire(const core::Capacity &Value) {
  wire::Capacity Result;
  Result.in_flight = static_cast<std::int32_t>(Value.m_InFlight);
  Result.queued = static_cast<std::int32_t>(Value.m_Queued);
  Result.limit = static_cast<std::int32_t>(Value.m_Limit);
  Result.service_time_us = Value.m_ServiceTime.count();
  if (Value.m_StatedRate)
    Result.__set_stated_rate(*Value.m_StatedRate);
  return Result;
}

core::Capacity fromWire(const wire::Capacity &Value) {
  core::Capacity Result{countFromWire(Value.in_flight),
                        countFromWire(Value.queued), countFromWire(Value.limit),
                        Duration(Value.service_time_us)};
  if (Value.__isset.stated_rate)
    Result.m_StatedRate = rateFromWire(Value.stated_rate);
  return Result;
}

wire::TargetStatement toWire(const core::TargetStatement &Value) {
  wire::TargetStatement Result;
  if (Value.m_RequestsPerSecond)
    Result.__set_requests_per_second(*Value.m_RequestsPerSecond);
  Result.leaving = Value.m_Leaving;
  return Result;
}

core::TargetStatement fromWire(const wire::TargetStatement &Value) {
  core::TargetStatement Result;
  if (Value.__isset.requests_per_second)
    Result.m_RequestsPerSecond = rateFromWire(Value.requests_per_second);
  Result.m_Leaving = Value.leaving;
  return Result;
}

wire::CrashEvidence toWire(const core::CrashEvidence &Value) {
  wire::CrashEvidence Result;
  Result.fingerprint_high = toSigned(Value.m_Request.m_High);
  Result.fingerprint_low = toSigned(Value.m_Request.m_Low);
  Result.cleared = Value.m_Cleared;
  Result.target_end = net::toWire(Value.m_End);
  Result.seen_ago_us = Value.m_SeenAgo.count();
  Result.as_suspect = Value.m_AsSuspect;
  Result.was_answered = Value.m_WasAnswered;
  return Result;
}

std::vector<wire::HttpField>
toWire(const std::vector<core::HttpField> &Fields) {
  std::vector<wire::HttpField> Result(Fields.size());
  for (std::size_t Index = 0; Index < Fields.size(); ++Index) {
    Result[Index].name = Fields[Index].m_Name;
    Result[Index].value = Fields[Index].m_Value;
  }
  return Result;
}

std::vector<core::HttpField> fromWire(std::vector<wire::HttpField> &Fields) {
  std::vector<core::HttpField> Result;
  Result.reserve(Fields.size());
  for (wire::HttpField &Field : Fields)
    Result.push_back({std::move(Field.name), std::move(Field.value)});
  return Result;
}

std::vector<wire::RequestId> toWire(const std::vector<core::RequestId> &Ids) {
  std::vector<wire::RequestId> Result;
  Result.reserve(Ids.size());
  for (const core::RequestId &Id : Ids)
    Result.push_back(net::toWire(Id));
  return Result;
}

std::vector<core::RequestId> fromWire(const std::vector<wire::RequestId> &Ids) {
  std::vector<core::RequestId> Result;
  Result.reserve(Ids.size());
  for (const wire::RequestId &Id : Ids)
    Result.push_back(net::fromWire(Id));
  return Result;
}

wire::HttpRequest toWire(const core::HttpRequest &Value) {
  wire::HttpRequest Result;
  Result.method = Value.m_Method;
  Result.path = Value.m_Path;
  Result.host_name = Value.m_HostName;
  Result.fields = toWire(Value.m_Fields);
  Result.body = Value.m_Body;
  return Result;
}

core::HttpRequestPtr fromWire(wire::HttpRequest &Value) {
  return std::make_shared<const core::HttpRequest>(
      core::HttpRequest{std::move(Value.method), std::move(Value.path),
                        std::move(Value.host_name), fromWire(Value.fields),
                        std::move(Value.body)});
}

wire::HttpResponse toWire(const core::HttpResponse &Value) {
  wire::HttpResponse Result;
  Result.status = static_cast<std::int32_t>(Value.m_Status);
  Result.fields = toWire(Value.m_Fields);
  Result.body = Value.m_Body;
  return Result;
}

core::HttpResponsePtr fromWire(wire::HttpResponse &Value) {
  return std::make_shared<const core::HttpResponse>(
      core::HttpResponse{countFromWire(Value.status), fromWire(Value.fields),
                         std::move(Value.body)});
}

// Visitor with one overload for each message type.
class BodyWriter {
public:
  explicit BodyWriter(wire::Body &Body) : m_Body(Body) {}

  void operator()(const core::TrafficHello &Message) {
    wire::TrafficHello Value;
    Value.host = Message.m_Host;
    Value.ingress = net::toWire(Message.m_Ingress);
    Value.epoch = toSigned(Message.m_Epoch);
    Value.version = toSigned(Message.m_Version);
    if (Message.m_PullsAnswers)
      Value.__set_pulls_answers(true);
    m_Body.__set_traffic_hello(Value);
  }

  void operator()(const core::TrafficWelcome &Message) {
    wire::TrafficWelcome Value;
    Value.host = Message.m_Host;
    Value.gate = net::toWire(Message.m_Gate);
    Value.epoch = toSigned(Message.m_Epoch);
    Value.version = toSigned(Message.m_Version);
    Value.capacity = toWire(Message.m_Capacity);
    m_Body.__set_traffic_welcome(Value);
  }

  void operator()(const core::Dispatch &Message) {
    wire::Dispatch &Value = m_Body.dispatch;
    Value.id = net::toWire(Message.m_Id);
    Value.epoch = toSigned(Message.m_Epoch);
    Value.gate = net::toWire(Message.m_Gate);
    Value.remaining_us = Message.m_Remaining.count();
    Value.version = toSigned(Message.m_Version);
    Value.service_name = Message.m_Service;
    Value.target_name = Message.m_Target;
    Value.idempotent = Message.m_Idempotent;
    Value.kind = Message.m_Kind;
    Value.priority = static_cast<std::int32_t>(Message.m_Priority);
    Value.wanted_in_us = Message.m_SoftDeadlineIn.count();
    if (Message.m_StatedRate)
      Value.__set_stated_rate(*Message.m_StatedRate);
    if (Message.m_AsSuspect)
      Value.__set_as_suspect(true);
    if (Message.m_Repeatable)
      Value.__set_repeatable(true);
    if (!Message.m_Team.empty())
      Value.__set_team(Message.m_Team);
    if (Message.m_Request != nullptr)
      Value.request = toWire(*Message.m_Request);
    m_Body.__isset.dispatch = true;
  }

  void operator()(const core::Answer &Message) {
    wire::Answer &Value = m_Body.answer;
    Value.id = net::toWire(Message.m_Id);
    if (Message.m_Response != nullptr)
      Value.response = toWire(*Message.m_Response);
    Value.capacity = toWire(Message.m_Capacity);
    Value.statement = toWire(Message.m_Statement);
    m_Body.__isset.answer = true;
  }

  void operator()(const core::Refusal &Message) {
    wire::Refusal Value;
    Value.id = net::toWire(Message.m_Id);
    Value.reason = static_cast<std::int32_t>(Message.m_Reason);
    Value.retry_after_us = Message.m_RetryAfter.count();
    Value.version = toSigned(Message.m_Version);
    Value.capacity = toWire(Message.m_Capacity);
    if (Message.m_Statement)
      Value.__set_statement(toWire(*Message.m_Statement));
    m_Body.__set_refusal(Value);
  }

  void operator()(const core::Failure &Message) {
    wire::Failure Value;
    Value.id = net::toWire(Message.m_Id);
    Value.detail = Message.m_Detail;
    Value.capacity = toWire(Message.m_Capacity);
    if (Message.m_TargetEnd)
      Value.__set_target_end(net::toWire(*Message.m_TargetEnd));
    m_Body.__set_failure(Value);
  }

  void operator()(const core::Inquiry &Message) {
    wire::Inquiry Value;
    Value.ids = toWire(Message.m_Ids);
    m_Body.__set_inquiry(Value);
  }

  void operator()(const core::InquiryReply &Message) {
    wire::InquiryReply Value;
    Value.id = net::toWire(Message.m_Id);
    Value.state = static_cast<std::int32_t>(Message.m_State);
    m_Body.__set_inquiry_reply(Value);
  }

  void operator()(const core::Settled &Message) {
    wire::Settled Value;
    Value.ids = toWire(Message.m_Ids);
    m_Body.__set_settled(Value);
  }

  void operator()(const core::Cancel &Message) {
    wire::Cancel Value;
    Value.id = net::toWire(Message.m_Id);
    m_Body.__set_cancel(Value);
  }

  void operator()(const core::TrafficPing &Message) {
    wire::TrafficPing Value;
    Value.sequence = toSigned(Message.m_Sequence);
    Value.version = toSigned(Message.m_Version);
    if (Message.m_EndsIn)
      Value.__set_ends_in_us(Message.m_EndsIn->count());
    m_Body.__set_traffic_ping(Value);
  }

  void operator()(const core::TrafficPong &Message) {
    wire::TrafficPong Value;
    Value.sequence = toSigned(Message.m_Sequence);
    Value.version = toSigned(Message.m_Version);
    Value.capacity = toWire(Message.m_Capacity);
    m_Body.__set_traffic_pong(Value);
  }

  void operator()(const core::TrafficGoAway & /*Message*/) {
    m_Body.__set_traffic_go_away({});
  }

  void operator()(const core::CrashNotice &Message) {
    wire::CrashNotice Value;
    for (const core::CrashEvidence &Each : Message.m_Evidence)
      Value.evidence.push_back(toWire(Each));
    m_Body.__set_crash_notice(Value);
  }

  void operator()(const core::LeavingNotice &Message) {
    wire::LeavingNotice Value;
    for (const core::TargetInstance &Each : Message.m_Targets) {
      wire::TargetInstance &Added = Value.targets.emplace_back();
      Added.name = Each.m_Name;
      Added.started_at_ms = Each.m_StartedAtMs;
    }
    m_Body.__set_leaving_notice(Value);
  }

  void operator()(const core::CreditRequest &Message) {
    wire::CreditRequest Value;
    Value.sequence = toSigned(Message.m_Sequence);
    Value.team = Message.m_Team;
    Value.wanted = static_cast<std::int32_t>(Message.m_Wanted);
    Value.returned = static_cast<std::int32_t>(Message.m_Returned);
    m_Body.__set_credit_request(Value);
  }

  void operator()(const core::CreditGrant &Message) {
    wire::CreditGrant Value;
    Value.sequence = toSigned(Message.m_Sequence);
    Value.team = Message.m_Team;
    Value.granted = static_cast<std::int32_t>(Message.m_Granted);
    Value.lease_us = Message.m_Lease.count();
    Value.retry_after_us = Message.m_RetryAfter.count();
    m_Body.__set_credit_grant(Value);
  }

  void operator()(const core::AnswerOffer &Message) {
    wire::AnswerOffer Value;
    Value.id = net::toWire(Message.m_Id);
    Value.body_bytes = toSigned(Message.m_BodyBytes);
    Value.capacity = toWire(Message.m_Capacity);
    m_Body.__set_answer_offer(Value);
  }

  void operator()(const core::AnswerPull &Message) {
    wire::AnswerPull Value;
    Value.id = net::toWire(Message.m_Id);
    m_Body.__set_answer_pull(Value);
  }

private:
  wire::Body &m_Body;
};

core::TrafficMessage readHello(wire::Body &Body) {
  wire::TrafficHello &Value = Body.traffic_hello;
  return core::TrafficHello{std::move(Value.host), net::fromWire(Value.ingress),
                            toUnsigned(Value.epoch), toUnsigned(Value.version),
                            Value.__isset.pulls_answers && Value.pulls_answers};
}

core::TrafficMessage readWelcome(wire::Body &Body) {
  wire::TrafficWelcome &Value = Body.traffic_welcome;
  return core::TrafficWelcome{
      std::move(Value.host), net::fromWire(Value.gate), toUnsigned(Value.epoch),
      toUnsigned(Value.version), fromWire(Value.capacity)};
}

core::TrafficMessage readDispatch(wire::Body &Body) {
  wire::Dispatch &Value = Body.dispatch;
  core::Dispatch Result{
      net::fromWire(Value.id),       toUnsigned(Value.epoch),
      net::fromWire(Value.gate),     Duration(Value.remaining_us),
      toUnsigned(Value.version),     std::move(Value.service_name),
      std::move(Value.target_name),  Value.idempotent,
      fromWire(Value.request),       std::move(Value.kind),
      countFromWire(Value.priority), Duration(Value.wanted_in_us)};
  if (Value.__isset.stated_rate)
    Result.m_StatedRate = rateFromWire(Value.stated_rate);
  Result.m_AsSuspect = Value.__isset.as_suspect && Value.as_suspect;
  Result.m_Repeatable = Value.__isset.repeatable && Value.repeatable;
  if (Value.__isset.team)
    Result.m_Team = std::move(Value.team);
  return Result;
}

core::TrafficMessage readAnswer(wire::Body &Body) {
  wire::Answer &Value = Body.answer;
  return core::Answer{net::fromWire(Value.id), fromWire(Value.response),
                      fromWire(Value.capacity), fromWire(Value.statement)};
}

core::TrafficMessage readRefusal(wire::Body &Body) {
  const wire::Refusal &Value = Body.refusal;
  core::Refusal Result{net::fromWire(Value.id),
                       enumFromWire(Value.reason, core::RefusalReason::Suspect),
                       Duration(Value.retry_after_us),
                       toUnsigned(Value.version), fromWire(Value.capacity)};
  if (Value.__isset.statement)
    Result.m_Statement = fromWire(Value.statement);
  return Result;
}

core::TrafficMessage readFailure(wire::Body &Body) {
  wire::Failure &Value = Body.failure;
  core::Failure Result{net::fromWire(Value.id), std::move(Value.detail),
                       fromWire(Value.capacity)};
  if (Value.__isset.target_end)
    Result.m_TargetEnd = net::fromWire(Value.target_end);
  return Result;
}

core::TrafficMessage readInquiry(wire::Body &Body) {
  return core::Inquiry{fromWire(Body.inquiry.ids)};
}

core::TrafficMessage readInquiryReply(wire::Body &Body) {
  const wire::InquiryReply &Value = Body.inquiry_reply;
  return core::InquiryReply{net::fromWire(Value.id),
                            enumFromWire(Value.state, core::LedgerState::Done)};
}

core::TrafficMessage readSettled(wire::Body &Body) {
  return core::Settled{fromWire(Body.settled.ids)};
}

core::TrafficMessage readCancel(wire::Body &Body) {
  return core::Cancel{net::fromWire(Body.cancel.id)};
}

core::TrafficMessage readPing(wire::Body &Body) {
  const wire::TrafficPing &Value = Body.traffic_ping;
  core::TrafficPing Result{toUnsigned(Value.sequence),
                           toUnsigned(Value.version)};
  if (Value.__isset.ends_in_us)
    Result.m_EndsIn = Duration(Value.ends_in_us);
  return Result;
}

core::TrafficMessage readPong(wire::Body &Body) {
  const wire::TrafficPong &Value = Body.traffic_pong;
  return core::TrafficPong{toUnsigned(Value.sequence),
                           toUnsigned(Value.version), fromWire(Value.capacity)};
}

core::TrafficMessage readGoAway(wire::Body & /*Body*/) {
  return core::TrafficGoAway{};
}

core::TrafficMessage readCrashNotice(wire::Body &Body) {
  core::CrashNotice Result;
  for (const wire::CrashEvidence &Each : Body.crash_notice.evidence)
    Result.m_Evidence.push_back(
        {{toUnsigned(Each.fingerprint_high), toUnsigned(Each.fingerprint_low)},
         Each.cleared,
         net::fromWire(Each.target_end),
         Duration(Each.seen_ago_us),
         Each.as_suspect,
         Each.was_answered});
  return Result;
}

core::TrafficMessage readLeavingNotice(wire::Body &Body) {
  core::LeavingNotice Result;
  for (wire::TargetInstance &Each : Body.leaving_notice.targets)
    Result.m_Targets.push_back({std::move(Each.name), Each.started_at_ms});
  return Result;
}

core::TrafficMessage readCreditRequest(wire::Body &Body) {
  wire::CreditRequest &Value = Body.credit_request;
  return core::CreditRequest{toUnsigned(Value.sequence), std::move(Value.team),
                             countFromWire(Value.wanted),
                             countFromWire(Value.returned)};
}

core::TrafficMessage readCreditGrant(wire::Body &Body) {
  wire::CreditGrant &Value = Body.credit_grant;
  return core::CreditGrant{toUnsigned(Value.sequence), std::move(Value.team),
                           countFromWire(Value.granted),
                           Duration(Value.lease_us),
                           Duration(Value.retry_after_us)};
}

core::TrafficMessage readAnswerOffer(wire::Body &Body) {
  const wire::AnswerOffer &Value = Body.answer_offer;
  return core::AnswerOffer{net::fromWire(Value.id),
                           toUnsigned(Value.body_bytes),
                           fromWire(Value.capacity)};
}

core::TrafficMessage readAnswerPull(wire::Body &Body) {
  return core::AnswerPull{net::fromWire(Body.answer_pull.id)};
}

constexpr MessageReader<core::TrafficMessage> Readers[] = {
    {[](const wire::Body &Body) { return Body.__isset.dispatch; },
     readDispatch},
    {[](const wire::Body &Body) { return Body.__isset.answer; }, readAnswer},
    {[](const wire::Body &Body) { return Body.__isset.refusal; }, readRefusal},
    {[](const wire::Body &Body) { return Body.__isset.settled; }, readSettled},
    {[](const wire::Body &Body) { return Body.__isset.traffic_ping; },
     readPing},
    {[](const wire::Body &Body) { return Body.__isset.traffic_pong; },
     readPong},
    {[](const wire::Body &Body) { return Body.__isset.failure; }, readFailure},
    {[](const wire::Body &Body) { return Body.__isset.inquiry; }, readInquiry},
    {[](const wire::Body &Body) { return Body.__isset.inquiry_reply; },
     readInquiryReply},
    {[](const wire::Body &Body) { return Body.__isset.cancel; }, readCancel},
    {[](const wire::Body &Body) { return Body.__isset.traffic_hello; },
     readHello},
    {[](const wire::Body &Body) { return Body.__isset.traffic_welcome; },
     readWelcome},
    {[](const wire::Body &Body) { return Body.__isset.traffic_go_away; },
     readGoAway},
    {[](const wire::Body &Body) { return Body.__isset.crash_notice; },
     readCrashNotice},
    {[](const wire::Body &Body) { return Body.__isset.leaving_notice; },
     readLeavingNotice},
    {[](const wire::Body &Body) { return Body.__isset.credit_request; },
     readCreditRequest},
    {[](const wire::Body &Body) { return Body.__isset.credit_grant; },
     readCreditGrant},
    {[](const wire::Body &Body) { return Body.__isset.answer_offer; },
     readAnswerOffer},
    {[](const wire::Body &Body) { return Body.__isset.answer_pull; },
     readAnswerPull},
};

} // namespace

void toWire(const core::TrafficMessage &Message, wire::Body &Body) {
  std::visit(BodyWriter(Body), Message);
}

bool fromWire(wire::Body &Body, core::TrafficMessage &Result) {
  return readMessage(Readers, Body, Result);
}

} // namespace dandelionfall::net
