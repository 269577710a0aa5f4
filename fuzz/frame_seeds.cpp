// Writes one frame of each message type into a directory as the seed corpus of
// fuzz_frame.
#include "dandelionfall/net/codec.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

using namespace dandelionfall::core;
using namespace dandelionfall::net;

namespace {

HttpRequestPtr makeRequest() {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/escortdesk/book";
  Request.m_Body = "vessel=4711";
  return std::make_shared<const HttpRequest>(std::move(Request));
}

Dispatch makeDispatch() {
  Dispatch Message;
  Message.m_Service = "escortdesk";
  Message.m_Target = "escortdesk-1";
  Message.m_Request = makeRequest();
  return Message;
}

Answer makeAnswer() {
  Answer Message;
  Message.m_Response = std::make_shared<const HttpResponse>();
  return Message;
}

ChangeRecords makeRecords() {
  const PartPtr Zones = makePart("zones", "[zone kalamaria]\n");
  return {Stream::Configuration, {{{1, 2}, {3, 4}, {Zones}, {"service/s"}}}};
}

SnapshotChunk makeChunk() {
  return {Stream::Hosts, {1, 2}, 0, 1, {makePart("host/a", "[host a]\n")}};
}

class SeedWriter {
public:
  explicit SeedWriter(std::filesystem::path Directory)
      : m_Directory(std::move(Directory)) {
    std::filesystem::create_directories(m_Directory);
  }

  // The fuzz target expects frames without the length header.
  void write(const std::string &Frame) {
    std::ofstream File(m_Directory / std::to_string(++m_Count),
                       std::ios::binary);
    File << Frame.substr(FrameHeaderBytes);
  }

private:
  std::filesystem::path m_Directory;
  int m_Count = 0;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 2) {
    std::cerr << "usage: frame_seeds DIRECTORY\n";
    return 2;
  }
  SeedWriter Seeds(Arguments[1]);
  const TrafficMessage Traffic[] = {
      TrafficHello{"host-1", {}, 1, 2, true},
      AnswerOffer{{}, 100'000, {}},
      AnswerPull{},
      TrafficWelcome{"host-2", {}, 1, 2, {}},
      makeDispatch(),
      makeAnswer(),
      Refusal{},
      Failure{{}, "reset", {}},
      Inquiry{{RequestId{}, RequestId{}}},
      InquiryReply{},
      Settled{{RequestId{}}},
      Cancel{},
      TrafficPing{},
      TrafficPong{},
      TrafficGoAway{},
      CrashNotice{{{{1, 2}, false, RequestId{}, Duration{3}}}},
      LeavingNotice{{{"escortdesk-1", 1'760'000'000'000}}},
  };
  for (const TrafficMessage &Each : Traffic)
    Seeds.write(encodeFrame(Each, 7));
  const ControlMessage Control[] = {
      ControlHello{"host-1", "sindos", {}, "127.0.0.1:7101", {}, {}, {}},
      Announce{Stream::Configuration, {1, 2}},
      Pull{Stream::Hosts, {1, 2}},
      makeRecords(),
      makeChunk(),
      HeldAck{Stream::Configuration, {1, 2}},
      Heartbeat{},
      ControlGoAway{},
  };
  for (const ControlMessage &Each : Control)
    Seeds.write(encodeFrame(Each, 7));
  return 0;
}
