/// \file
/// Waiting requests whose ingress or gate stops before they can be done.
#ifndef DANDELIONFALL_CORE_GATE_EARLY_END_H
#define DANDELIONFALL_CORE_GATE_EARLY_END_H

#include "core/gate/admission.h"

#include <cstddef>
#include <vector>

namespace dandelionfall::core::gate {

/// Finds the waiting requests that end early and are not expected to finish by
/// then. Each leaves its place to those behind it.
/// \param View the state of the gate.
/// \returns their positions in the queue, in ascending order.
std::vector<std::size_t> findUnservable(const AdmissionView &View);

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_EARLY_END_H
