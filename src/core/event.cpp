#include "dandelionfall/core/event.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace dandelionfall::core {

namespace {

constexpr std::array Catalogue = {
    EventInfo{EventId::ProcessStarted, "process-started", Severity::Info,
              "The process has bound its addresses."},
    EventInfo{EventId::ProcessReady, "process-ready", Severity::Info,
              "The node serves callers."},
    EventInfo{EventId::DrainStarted, "drain-started", Severity::Info,
              "A planned stop began; new requests are refused."},
    EventInfo{EventId::DrainFinished, "drain-finished", Severity::Info,
              "All admitted requests have ended; the process exits."},
    EventInfo{EventId::SettingsRead, "settings-read", Severity::Info,
              "The settings were read again on SIGHUP."},
    EventInfo{EventId::SettingsRefused, "settings-refused", Severity::Error,
              "The settings have a fault; the previous settings stay active."},
    EventInfo{EventId::ThreadFailed, "thread-failed", Severity::Error,
              "A handler of a thread threw an exception; the process stops as "
              "planned, with exit code 70."},
    EventInfo{EventId::ConfigurationHeld, "configuration-held", Severity::Info,
              "A version is stored and validated, but not yet applied."},
    EventInfo{EventId::ConfigurationApplied, "configuration-applied",
              Severity::Info, "This node has applied a version."},
    EventInfo{
        EventId::ConfigurationRefused, "configuration-refused", Severity::Error,
        "A published value has a fault; the applied version stays active."},
    EventInfo{EventId::SourceUnavailable, "source-unavailable",
              Severity::Warning,
              "The platform's configuration service does not answer."},
    EventInfo{EventId::SourceAvailable, "source-available", Severity::Info,
              "The platform's configuration service answers again."},
    EventInfo{EventId::VersionConflict, "version-conflict", Severity::Error,
              "A version number was received with other content; the content "
              "received first is retained."},
    EventInfo{EventId::AppliedWithoutHolders, "applied-without-holders",
              Severity::Warning,
              "A version was applied before enough other nodes held it."},
    EventInfo{EventId::HostListRead, "host-list-read", Severity::Debug,
              "A newer list of hosts is in use."},
    EventInfo{EventId::VersionGivenUp, "version-given-up", Severity::Warning,
              "No reachable peer holds a version that was announced; the node "
              "stops waiting for it."},
    EventInfo{EventId::ControlLinkOpened, "control-link-opened",
              Severity::Debug, "A control link to a neighbour is open."},
    EventInfo{EventId::ControlLinkClosed, "control-link-closed",
              Severity::Debug, "A control link was closed."},
    EventInfo{EventId::NeighbourReplaced, "neighbour-replaced", Severity::Info,
              "A dead or silent neighbour was replaced."},
    EventInfo{EventId::TrafficLinkOpened, "traffic-link-opened",
              Severity::Debug, "A traffic link to a gate is open."},
    EventInfo{EventId::TrafficLinkClosed, "traffic-link-closed",
              Severity::Debug, "A traffic link to a gate was closed."},
    EventInfo{EventId::EpochRaised, "epoch-raised", Severity::Info,
              "A gate no longer runs requests from an ingress's older link."},
    EventInfo{EventId::OutcomeUnknown, "outcome-unknown", Severity::Warning,
              "A caller was notified that its request may have run.",
              /*m_IsPerRequest=*/true},
    EventInfo{EventId::RequestDispatched, "request-dispatched", Severity::Debug,
              "An ingress sent a request to a gate."},
    EventInfo{EventId::RequestStarted, "request-started", Severity::Debug,
              "A gate sent a request to its target."},
    EventInfo{EventId::RequestSettled, "request-settled", Severity::Info,
              "A caller received its final response, or disconnected.",
              /*m_IsPerRequest=*/true},
    EventInfo{EventId::RequestRefused, "request-refused", Severity::Info,
              "A gate refused a request without running it.",
              /*m_IsPerRequest=*/true},
    EventInfo{EventId::RequestNotServed, "request-not-served", Severity::Info,
              "A caller was notified that its request did not run.",
              /*m_IsPerRequest=*/true},
    EventInfo{EventId::MessageUnsendable, "message-unsendable",
              Severity::Warning,
              "HTTP can't carry a request or response; its caller got an error "
              "response.",
              /*m_IsPerRequest=*/true},
    EventInfo{EventId::ResponseUndelivered, "response-undelivered",
              Severity::Warning,
              "A connection was closed although its caller had not received "
              "all that was written to it.",
              /*m_IsPerRequest=*/true},
    EventInfo{
        EventId::RequestFinished, "request-finished", Severity::Debug,
        "A gate received the target's complete response, or none will arrive."},
    EventInfo{EventId::RampRestarted, "ramp-restarted", Severity::Info,
              "The target is in cold start; its limit restarts."},
    EventInfo{EventId::RampFinished, "ramp-finished", Severity::Info,
              "The target's limit has reached its slots."},
    EventInfo{EventId::ZoneOut, "zone-out", Severity::Info,
              "An availability zone receives no new requests."},
    EventInfo{EventId::ZoneIn, "zone-in", Severity::Info,
              "An availability zone receives new requests again."},
    EventInfo{EventId::ZoneTrafficChanged, "zone-traffic-changed",
              Severity::Info,
              "An ingress began or ceased to send requests to other "
              "availability zones because its own lacks room."},
    EventInfo{EventId::TargetHeldOff, "target-held-off", Severity::Warning,
              "The target accepts no connections; it receives no requests for "
              "a while."},
    EventInfo{EventId::TargetRateStated, "target-rate-stated", Severity::Info,
              "A target states how many requests per second it takes, or no "
              "longer does."},
    EventInfo{EventId::StatementMalformed, "statement-malformed",
              Severity::Warning,
              "A target's response states something unreadable about the "
              "target; the previous statement stays in force."},
    EventInfo{EventId::TargetLeaving, "target-leaving", Severity::Info,
              "A target states in a response that it is about to stop; it "
              "receives no new requests."},
    EventInfo{EventId::TargetEnded, "target-ended", Severity::Warning,
              "The target ended while it ran requests; the detail names them "
              "and their fingerprints."},
    EventInfo{EventId::RequestQuarantined, "request-quarantined",
              Severity::Warning,
              "A request ran at several targets when they ended; it is sent to "
              "no target for a while."},
    EventInfo{EventId::RequestCleared, "request-cleared", Severity::Info,
              "A target answered a quarantined request; it is sent to targets "
              "again."},
    EventInfo{EventId::KeysUnproved, "keys-unproved", Severity::Warning,
              "Requests with keys are rejected: the node can't prove that its "
              "configuration is the newest one."},
    EventInfo{EventId::KeysProved, "keys-proved", Severity::Info,
              "The node accepts requests with keys again."},
    EventInfo{EventId::CallerRejected, "caller-rejected", Severity::Warning,
              "A caller's request broke a limit or the protocol."},
    EventInfo{EventId::TargetListed, "target-listed", Severity::Info,
              "A target registered itself in the store."},
    EventInfo{EventId::TargetDraining, "target-draining", Severity::Info,
              "A target stops soon; it receives no new requests."},
    EventInfo{
        EventId::TargetRemoved, "target-removed", Severity::Info,
        "A target was removed from the store; it receives no new requests."},
    EventInfo{
        EventId::TargetLapsed, "target-lapsed", Severity::Warning,
        "A target's entry expired while the store was unavailable; the target "
        "stays listed until it had time to renew the entry."},
    EventInfo{
        EventId::RecordRefused, "record-refused", Severity::Warning,
        "A record of the store is invalid; the previous state is retained."},
    EventInfo{EventId::ZoneTakenOut, "zone-taken-out", Severity::Info,
              "Operators took an availability zone out of service."},
    EventInfo{EventId::ZoneTakenBack, "zone-taken-back", Severity::Info,
              "Operators returned an availability zone to service."},
    EventInfo{EventId::RecordsFromPeer, "records-from-peer", Severity::Info,
              "Another node sent records that the store does not have."},
    EventInfo{EventId::FeedFollowed, "feed-followed", Severity::Info,
              "Another node tells this one which revision is current."},
    EventInfo{EventId::FeedLost, "feed-lost", Severity::Info,
              "Another node no longer tells which revision is current."},
    EventInfo{EventId::WatchModeChanged, "watch-mode-changed", Severity::Info,
              "The node watches the store in another way."},
    EventInfo{EventId::FollowerBehind, "follower-behind", Severity::Info,
              "The node reads a revision from the store that another node "
              "announced and its own watch has not delivered."},
    EventInfo{EventId::StoreCallFailed, "store-call-failed", Severity::Info,
              "A call to the store failed; only the first failures in a row "
              "are logged."},
    EventInfo{EventId::FollowerCaughtUp, "follower-caught-up", Severity::Info,
              "The store returned the announced revision that the node "
              "lacked."},
    EventInfo{EventId::ControlThreadBusy, "control-thread-busy", Severity::Info,
              "One input occupied the control thread for long; all others "
              "waited."},
    EventInfo{EventId::ControlTimerLate, "control-timer-late", Severity::Info,
              "The control thread came late to a timer."},
    EventInfo{EventId::StoreReplyDropped, "store-reply-dropped",
              Severity::Warning,
              "A reply of the store does not continue the known history; the "
              "records are listed. Only the first in a row are logged."},
    EventInfo{EventId::StoreHistoryReplaced, "store-history-replaced",
              Severity::Warning,
              "The store came back from an older copy, or counts its revisions "
              "anew; its records replace those of the earlier history."},
    EventInfo{EventId::RecordRetained, "record-retained", Severity::Warning,
              "The store has lost a record that is in force; it stays in force "
              "until it is written again or a grace period ends."},
    EventInfo{
        EventId::AccountantChanged, "accountant-changed", Severity::Debug,
        "The node became an accountant of a team's quota, or is no more."},
};

static_assert(std::is_sorted(Catalogue.begin(), Catalogue.end(),
                             [](const EventInfo &Left, const EventInfo &Right) {
                               return Left.m_Id < Right.m_Id;
                             }));

} // namespace

std::span<const EventInfo> eventCatalogue() { return Catalogue; }

const EventInfo &describe(EventId Id) {
  const auto *Found =
      std::lower_bound(Catalogue.begin(), Catalogue.end(), Id,
                       [](const EventInfo &Info, EventId SearchId) {
                         return Info.m_Id < SearchId;
                       });
  if (Found == Catalogue.end() || Found->m_Id != Id)
    throw std::logic_error("event number without a catalogue entry");
  return *Found;
}

} // namespace dandelionfall::core
