#include "dandelionfall/core/feed.h"

#include "core/registry/limits.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

namespace {

// The same for every node, and spread over the hosts.
std::uint64_t rankOf(const std::string &Address) {
  constexpr std::uint64_t Prime = 0x100000001b3U;
  std::uint64_t Hash = 0xcbf29ce484222325U;
  for (const char Letter : Address)
    Hash = (Hash ^ static_cast<unsigned char>(Letter)) * Prime;
  return Hash;
}

} // namespace

void Feed::onHosts(const std::vector<std::string> &Addresses, TimePoint Now) {
  const auto First = std::min_element(
      Addresses.begin(), Addresses.end(),
      [](const std::string &Left, const std::string &Right) {
        return std::pair(rankOf(Left), Left) < std::pair(rankOf(Right), Right);
      });
  m_First = First == Addresses.end() ? "" : *First;
  choose(Now);
}

void Feed::choose(TimePoint Now) {
  const bool ShouldRead =
      m_First.empty() || m_First == m_OwnAddress || Now < m_ReadUntil;
  const std::string Wanted = ShouldRead ? "" : m_First;
  if (Wanted == m_Peer)
    return setReads(ShouldRead || m_Reads);
  if (!m_Peer.empty())
    m_Commands.emplace_back(LeavePeer{});
  m_Peer = Wanted;
  // The node goes on reading until the peer has shown that its feed is fresh.
  setReads(true);
  if (m_Peer.empty())
    return;
  m_FreshAt = Now;
  m_Commands.emplace_back(FollowPeer{m_Peer});
}

void Feed::onPush(Duration Age, TimePoint Now) {
  if (m_Peer.empty())
    return;
  const TimePoint Fresh = Now - std::clamp(Age, Duration{0}, MaxFeedAge);
  if (!m_Reads) {
    m_FreshAt = std::max(m_FreshAt, Fresh);
    return;
  }
  if (Age > MaxFeedAge / 2)
    return;
  m_FreshAt = Fresh;
  setReads(false);
}

void Feed::onPeerLost(TimePoint Now) {
  if (!m_Peer.empty())
    fallBack("the link to the reader is gone", Now);
}

void Feed::onTick(TimePoint Now) {
  if (!m_Peer.empty() && Now >= m_FreshAt + MaxFeedAge)
    return fallBack("the reader's records are no longer fresh", Now);
  if (m_Peer.empty() && Now >= m_ReadUntil)
    choose(Now);
}

void Feed::fallBack(const char *Cause, TimePoint Now) {
  m_Commands.emplace_back(LeavePeer{});
  m_Commands.emplace_back(
      Event{EventId::ReaderLost, "reader=" + m_Peer + " cause=" + Cause});
  m_Peer.clear();
  m_ReadUntil = Now + OwnReadingTime;
  setReads(true);
}

void Feed::setReads(bool Reads) {
  if (std::exchange(m_Reads, Reads) != Reads)
    m_Commands.emplace_back(ReadStore{Reads});
}

std::optional<TimePoint> Feed::nextWakeUp() const {
  if (!m_Peer.empty())
    return m_FreshAt + MaxFeedAge;
  if (!m_First.empty() && m_First != m_OwnAddress)
    return m_ReadUntil;
  return std::nullopt;
}

Duration Feed::age(std::optional<TimePoint> StoreAnswered,
                   TimePoint Now) const {
  if (!m_Peer.empty() && !m_Reads)
    return Now - m_FreshAt;
  return StoreAnswered ? Now - *StoreAnswered : Duration::max();
}

std::vector<FeedCommand> Feed::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core
