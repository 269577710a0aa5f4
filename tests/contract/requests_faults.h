/// \file
/// The faults that the request tests combine.
#ifndef DANDELIONFALL_TESTS_CONTRACT_REQUESTS_FAULTS_H
#define DANDELIONFALL_TESTS_CONTRACT_REQUESTS_FAULTS_H

#include "contract/requests_world.h"

#include <span>

namespace dandelionfall::core {

/// A fault of a gate, its target, its links, or the ingress.
struct RequestsFault {
  const char *m_Name;
  void (*m_Inject)(RequestsWorld &World, std::size_t Gate);
  /// Whether every idempotent request is answered if this is the only fault.
  bool m_ReadsAnswered = true;
};

/// Lists all faults.
std::span<const RequestsFault> requestsFaults();

/// Schedules the calls during which the faults occur: bookings and reads that
/// overlap, all dispatched to the first gate if it has no fault. The first
/// booking is dispatched at 100 ms, runs from 101 ms to 121 ms and is answered
/// at 122 ms.
void scheduleCalls(RequestsWorld &World);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_TESTS_CONTRACT_REQUESTS_FAULTS_H
