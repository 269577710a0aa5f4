/// \file
/// Connects the components of the gate: handles messages and results of the
/// target, and produces commands.
#ifndef DANDELIONFALL_CORE_GATE_ENGINE_H
#define DANDELIONFALL_CORE_GATE_ENGINE_H

#include "core/gate/admission.h"
#include "core/gate/cold_rate.h"
#include "core/gate/end_watch.h"
#include "core/gate/hold_off.h"
#include "core/gate/ledger.h"
#include "core/gate/link_table.h"
#include "core/gate/ramp.h"
#include "core/gate/request_queue.h"
#include "core/gate/service_time.h"
#include "core/gate/sleep_guard.h"
#include "core/gate/stated_rate.h"
#include "core/gate/target_slots.h"
#include "core/gate/urgency.h"
#include "core/quota/team_accounts.h"
#include "dandelionfall/core/gate.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core::gate {

/// Reason of a refusal, with the feedback for the ingress.
struct RefusalCause {
  RefusalReason m_Reason = RefusalReason::Overload;
  Duration m_RetryAfter{0};
  /// Statement of the target, if it refused the request or is leaving.
  std::optional<TargetStatement> m_Statement{};
  /// What there was too little room for, in event details; may be empty.
  std::string_view m_Why{};
  /// Rank with which the request competed for room.
  std::optional<Rank> m_Rank{};
  friend bool operator==(const RefusalCause &, const RefusalCause &) = default;
};

/// How a request is admitted.
struct Admitted {
  /// Whether the answer is expected after the soft deadline.
  bool m_Late = false;
  /// See `QueuedRequest`.
  bool m_Probe = false;
  Duration m_Expected{0};
  std::vector<Displaced> m_Displaced{};
};

/// A request whose connection broke while it is unknown whether the target
/// ended.
struct HeldFailure {
  RequestId m_Id;
  std::string m_Detail;
  /// When the ingress is notified at the latest.
  TimePoint m_Until;
};

/// A request that the target didn't accept while it ran a copy of it.
struct HeldRefusal {
  RequestId m_Id;
  RequestFingerprint m_Fingerprint;
  /// When the ingress is notified at the latest.
  TimePoint m_Until;
};

/// Implementation of `Gate`, where the public functions are documented.
class Engine {
public:
  explicit Engine(GateOptions Options);

  void onConfiguration(ConfigurationPtr Config, TimePoint Now);
  void onFreshness(const FreshnessProof &Proof) { m_Accounts.addProof(Proof); }
  void setHostLeaving(bool Leaving, TimePoint Now);
  void setStepEvents(bool Enabled) { m_StepEvents = Enabled; }
  void onMessage(LinkId Link, const TrafficMessage &Message, TimePoint Now);
  void onLinkClosed(LinkId Link);
  void onTargetAnswer(const RequestId &Id, HttpResponsePtr Response,
                      TimePoint Now);
  void onTargetFailure(const RequestId &Id, TargetFailure Kind,
                       const std::string &Detail, TimePoint Now);
  void onTargetRefused(const RequestId &Id, bool IsOtherTarget,
                       Duration RetryAfter, TimePoint Now);
  void onUnsendable(const RequestId &Id, HttpResponsePtr Response,
                    TimePoint Now);
  void onTargetStatement(const RequestId &Id, const TargetStatement &Statement,
                         TimePoint Now);
  void onTargetCheck(bool Refused, TimePoint Now);
  void spread(const TrafficMessage &Notice, TimePoint Now);
  void onTargetConnectionClosed(TimePoint Now);
  void startDrain(TimePoint Now, std::optional<TimePoint> End);
  void onTick(TimePoint Now);
  std::optional<TimePoint> nextWakeUp() const;
  Capacity capacity() const;
  std::vector<GateCommand> takeCommands();

private:
  // Messages of ingresses, in engine_messages.cpp.
  void handleHello(LinkId Link, const TrafficHello &Message, TimePoint Now);
  void handle(LinkId Link, const Dispatch &Message, TimePoint Now);
  void handle(LinkId Link, const Inquiry &Message, TimePoint Now);
  void handle(LinkId Link, const Settled &Message, TimePoint Now);
  void handle(LinkId Link, const Cancel &Message, TimePoint Now);
  void handle(LinkId Link, const TrafficPing &Message, TimePoint Now);
  void handle(LinkId Link, const CrashNotice &Message, TimePoint Now);
  void handle(LinkId Link, const LeavingNotice &Message, TimePoint Now);
  void handle(LinkId Link, const CreditRequest &Message, TimePoint Now);
  template <typename Unexpected>
  void handle(LinkId Link, const Unexpected &Message, TimePoint Now);
  void handleRepeatedDispatch(LinkId Link, const RequestId &Id,
                              RequestState State);
  void enqueue(const Dispatch &Message, const ArrivingRequest &Arriving,
               const Admitted &As);
  ArrivingRequest arrivingRequest(const Dispatch &Message, Duration Remaining,
                                  TimePoint Now) const;
  /// Refuses waiting requests that lost their places to a more urgent one.
  void displace(const std::vector<Displaced> &Losing, TimePoint Now);
  void answerInquiry(LinkId Link, const RequestId &Id);
  std::optional<RefusalCause> refusalByFence(LinkId Link,
                                             const Dispatch &Message) const;
  std::optional<RefusalCause> refusalByState(const Dispatch &Message,
                                             Duration Remaining,
                                             TimePoint Now) const;
  /// \returns why the target takes no request at present.
  /// \param TargetName the target that the request is addressed to.
  std::optional<RefusalCause>
  refusalByTarget(const std::string &Service,
                  const std::string &TargetName) const;
  std::optional<RefusalCause> refusalByQuarantine(const HttpRequestPtr &Request,
                                                  bool AsSuspect,
                                                  TimePoint Now);
  /// \param As set to how the request is admitted, if it is.
  std::optional<RefusalCause> refusalByLoad(const Dispatch &Message,
                                            const ArrivingRequest &Arriving,
                                            Admitted &As, TimePoint Now);
  /// \returns whether a request that doesn't fit is admitted as a probe, see
  /// `ServiceTimes`.
  bool admitProbe(const Dispatch &Message, const ArrivingRequest &Arriving,
                  const AdmissionView &View, Admitted &As, TimePoint Now);
  /// \returns the time that an arriving request would wait for the rate limits
  /// of the target.
  /// \param Of its rank.
  Duration rateWait(Rank Of, TimePoint Now) const;
  /// \returns when the next requests may start within the rate limits of the
  /// target; empty if it has none.
  std::vector<TimePoint> rateStarts(std::size_t Count, TimePoint Now) const;
  AdmissionView admissionView(const std::string &Kind, TimePoint Now) const;
  void reportNewerVersion(LinkId Link, Version Seen);
  void closeLink(LinkId Link);

  // Target and timers, in engine_target.cpp.
  void start(const QueuedRequest &Next, TimePoint Now);
  void startQueued(TimePoint Now);
  Duration answerGrace() const;
  bool requeueIfLate(QueuedRequest &Next, TimePoint Now);
  /// \returns why a waiting request may not begin, although it was admitted.
  std::optional<RefusalCause> refusalToBegin(const RequestId &Id,
                                             TimePoint Now) const;
  /// Refuses the waiting requests that may not begin, so that their callers can
  /// go elsewhere.
  void refuseBarred(TimePoint Now);
  bool canStartNow(TimePoint Now);
  void updateRateSlots(TimePoint Now);
  /// Refuses the waiting requests that can't start in time within the rate
  /// limits of the target.
  void rejectWithoutStart(TimePoint Now);
  /// Refuses the waiting requests that can't be done before a node on their way
  /// ends.
  void rejectBeforeEnd(TimePoint Now);
  void failRunning(const RequestId &Id, const std::string &Detail,
                   const std::optional<RequestId> &TargetEnd = std::nullopt);
  /// \returns whether a suspect may not begin yet.
  bool mustWaitAsSuspect(const RequestFingerprint &Request, TimePoint Now);
  bool isBesideSuspect(const RequestFingerprint &Request) const;
  void abandon(const RequestId &Id, const std::string &Detail, TimePoint Now);
  void onNotSent(const OccupiedSlot &Slot, const std::string &Detail,
                 TimePoint Now);
  void onFailedAfterSend(const OccupiedSlot &Slot, TargetFailure Kind,
                         const std::string &Detail, TimePoint Now);
  void recordServiceTime(const OccupiedSlot &Slot, bool Complete,
                         std::uint32_t Occupied, TimePoint Now);
  void restartRamp(std::string_view Cause, TimePoint Now);
  void restartRampIfRaised(std::string_view Cause, TimePoint Now);
  void refuseQueued(const RefusalCause &Cause);
  /// Refuses a request that waited, because of the load.
  void refuseWaiting(const QueuedRequest &Request, std::string_view Why,
                     Duration RetryAfter, TimePoint Now);
  void expire(TimePoint Now);
  void advance(TimePoint Now);
  void updateSleepGuard(TimePoint Now);
  void updateIdleSince(TimePoint Now);
  void checkDrained(TimePoint Now);
  void sweep(TimePoint Now);
  /// \returns the time until which the slot of an abandoned request counts as
  /// occupied.
  TimePoint abandonedUntil(const OccupiedSlot &Slot, TimePoint Now) const;
  ServiceTimeEstimate estimate(const std::string &Kind, TimePoint Now) const;

  // The end of the target, in engine_target_end.cpp.
  void releaseHeldFailures(const std::optional<RequestId> &TargetEnd);
  /// Releases the refusals that need not wait any longer.
  /// \param VerdictKnown whether it is known if the target ended.
  void releaseHeldRefusals(bool VerdictKnown, TimePoint Now);
  bool isCopyRunning(const RequestFingerprint &Of) const;
  /// \returns whether a copy of a request runs or waits here.
  bool hasCopy(const RequestFingerprint &Of) const;
  void refuseNotAccepted(const RequestId &Id,
                         const RequestFingerprint &Fingerprint, TimePoint Now);
  /// Refuses a request that the target didn't accept, after the evidence
  /// against it.
  void refuseTargetDown(const RequestId &Id,
                        const RequestFingerprint &Fingerprint, TimePoint Now);
  /// Stops what became quarantined, and returns what became suspect to its
  /// ingress.
  void applyEvidence(TimePoint Now);
  /// Refuses a waiting request if it is quarantined, or suspect and was not
  /// sent as such. \returns whether it was refused.
  bool refuseByEvidence(const RequestId &Id, TimePoint Now);
  bool isRecallable(const OccupiedSlot &Slot) const;
  CrashNotice evidenceAgainst(const RequestFingerprint &Request,
                              TimePoint Now) const;
  RequestFingerprint queuedFingerprint(const RequestId &Id) const;
  void onTargetEnded(const std::vector<OccupiedSlot> &Running, TimePoint Now);
  bool isTargetLeaving() const;
  RequestId addEvidence(const std::vector<OccupiedSlot> &Running,
                        TimePoint Now);

  // Shared, in engine.cpp.
  void findLocalTarget();
  bool isLocalTarget(const Target &Each) const;
  void applyNewInstance(bool WasListed, TimePoint Now);
  TargetStatement statementOf(const TargetInstance &Of) const;
  void reportStatedRate(std::string_view Origin);
  void applyZoneState(bool WasIn, TimePoint Now);
  bool isZoneOut() const;
  /// \returns whether the zone went out so long ago that nothing may begin.
  bool isZoneClosed(TimePoint Now) const;
  Version version() const;
  void send(LinkId Link, TrafficMessage Message);
  void sendToIngress(const RequestId &Id, TrafficMessage Message);
  void sendResult(const RequestId &Id);
  void sendRefusal(LinkId Link, const RequestId &Id, const RefusalCause &Cause);
  void refuse(const RequestId &Id, const RefusalCause &Cause);
  void report(EventId Id, std::string Detail);

  GateOptions m_Options;
  const AdmissionStrategy *m_Admission;
  ConfigurationPtr m_Config;
  /// Service, local target and profile in the applied version; null if it does
  /// not list the target.
  const Service *m_Service = nullptr;
  const Target *m_Target = nullptr;
  const Profile *m_Profile = nullptr;
  Version m_NewestSeenVersion = 0;
  LinkTable m_Links;
  Ledger m_Ledger;
  RequestQueue m_Queue;
  TargetSlots m_Slots;
  ServiceTimes m_ServiceTimes;
  ServedShares m_Shares;
  Ramp m_Ramp;
  ColdRate m_ColdRate;
  StatedRate m_StatedRate;
  /// Start of the target that was listed last.
  TargetInstance m_Instance;
  /// When the next waiting request may start within the rate limits of the
  /// target; unset if it need not wait.
  std::optional<TimePoint> m_NextRateStart;
  /// When the next waiting suspect may start; unset if none waits for its time.
  std::optional<TimePoint> m_NextSuspectStart;
  /// Concurrency that the target is expected to reach at its rate limits; unset
  /// if it has none.
  std::optional<std::uint32_t> m_RateSlots;
  /// Name of a target whose address turned out to be served by another target.
  std::string m_DepartedTarget;
  HoldOff m_HoldOff;
  EndWatch m_EndWatch;
  std::vector<HeldFailure> m_HeldFailures;
  std::vector<HeldRefusal> m_HeldRefusals;
  std::shared_ptr<Quarantine> m_Quarantine;
  std::shared_ptr<LeavingTargets> m_LeavingTargets;
  SleepGuard m_SleepGuard;
  quota::TeamAccounts m_Accounts;
  std::uint64_t m_Arrivals = 0;
  std::optional<TimePoint> m_IdleSince;
  std::optional<TimePoint> m_ZoneOutSince;
  std::optional<TimePoint> m_DrainUntil;
  bool m_HostLeaving = false;
  bool m_StepEvents = true;
  bool m_Drained = false;
  TimePoint m_NextSweep;
  std::vector<GateCommand> m_Commands;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_ENGINE_H
