/// \file
/// The faults that the request tests combine.
#ifndef DANDELIONFALL_TESTS_CONTRACT_REQUESTS_FAULTS_H
#define DANDELIONFALL_TESTS_CONTRACT_REQUESTS_FAULTS_H

#include "contract/requests_world.h"

#include <span>

namespace dandelionfall::core {

/// A fault that befalls a gate, its target, its links, or the ingress.
struct RequestsFault {
  const char *m_Name;
  void (*m_Inject)(RequestsWorld &World, std::size_t Gate);
  /// Whether on its own it still lets every idempotent request be answered.
  bool m_ReadsAnswered = true;
};

/// Lists all faults.
std::span<const RequestsFault> requestsFaults();

/// Makes the calls that the faults meet: bookings and reads that cross each
/// other, all given to the first gate if nothing befalls it. The first is
/// dispatched at 100 ms, runs from 101 ms to 121 ms and is answered at 122 ms.
void scheduleCalls(RequestsWorld &World);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_TESTS_CONTRACT_REQUESTS_FAULTS_H
