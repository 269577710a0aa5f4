#include "dandelionfall/core/gate.h"

#include "core/gate/engine.h"

#include <utility>

namespace dandelionfall::core {

class Gate::Impl : public gate::Engine {
public:
  using Engine::Engine;
};

Gate::Gate(GateOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

Gate::~Gate() = default;

void Gate::onConfiguration(ConfigurationPtr Config, TimePoint Now) {
  m_Impl->onConfiguration(std::move(Config), Now);
}

void Gate::onFreshness(const FreshnessProof &Proof) {
  m_Impl->onFreshness(Proof);
}

void Gate::setHostLeaving(bool Leaving, TimePoint Now) {
  m_Impl->setHostLeaving(Leaving, Now);
}

void Gate::setStepEvents(bool Enabled) { m_Impl->setStepEvents(Enabled); }

void Gate::onMessage(LinkId Link, const TrafficMessage &Message,
                     TimePoint Now) {
  m_Impl->onMessage(Link, Message, Now);
}

void Gate::onLinkClosed(LinkId Link, TimePoint /*Now*/) {
  m_Impl->onLinkClosed(Link);
}

void Gate::onTargetAnswer(const RequestId &Id, HttpResponsePtr Response,
                          TimePoint Now) {
  m_Impl->onTargetAnswer(Id, std::move(Response), Now);
}

void Gate::onTargetFailure(const RequestId &Id, TargetFailure Kind,
                           const std::string &Detail, TimePoint Now) {
  m_Impl->onTargetFailure(Id, Kind, Detail, Now);
}

void Gate::onTargetRefused(const RequestId &Id, bool IsOtherTarget,
                           Duration RetryAfter, TimePoint Now) {
  m_Impl->onTargetRefused(Id, IsOtherTarget, RetryAfter, Now);
}

void Gate::onUnsendable(const RequestId &Id, HttpResponsePtr Response,
                        TimePoint Now) {
  m_Impl->onUnsendable(Id, std::move(Response), Now);
}

void Gate::onTargetStatement(const RequestId &Id,
                             const TargetStatement &Statement, TimePoint Now) {
  m_Impl->onTargetStatement(Id, Statement, Now);
}

void Gate::onTargetCheck(bool Refused, TimePoint Now) {
  m_Impl->onTargetCheck(Refused, Now);
}

void Gate::onTargetConnectionClosed(TimePoint Now) {
  m_Impl->onTargetConnectionClosed(Now);
}

void Gate::spread(const TrafficMessage &Notice, TimePoint Now) {
  m_Impl->spread(Notice, Now);
}

void Gate::startDrain(TimePoint Now, std::optional<TimePoint> End) {
  m_Impl->startDrain(Now, End);
}

void Gate::onTick(TimePoint Now) { m_Impl->onTick(Now); }

std::optional<TimePoint> Gate::nextWakeUp() const {
  return m_Impl->nextWakeUp();
}

Capacity Gate::capacity() const { return m_Impl->capacity(); }

std::vector<GateCommand> Gate::takeCommands() { return m_Impl->takeCommands(); }

} // namespace dandelionfall::core
