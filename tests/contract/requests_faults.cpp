#include "contract/requests_faults.h"

#include <array>

namespace dandelionfall::core {

namespace {

using World = RequestsWorld;

constexpr std::array Faults = {
    RequestsFault{
        "gate killed",
        [](World &Requests, std::size_t Gate) { Requests.killGate(Gate); }},
    RequestsFault{
        "gate restarted",
        [](World &Requests, std::size_t Gate) { Requests.restartGate(Gate); }},
    RequestsFault{"gate frozen for 400 ms",
                  [](World &Requests, std::size_t Gate) {
                    Requests.freezeGate(Gate, 400ms);
                  }},
    RequestsFault{"gate frozen past the deadline",
                  [](World &Requests, std::size_t Gate) {
                    Requests.freezeGate(Gate, 4s);
                  }},
    RequestsFault{"ingress frozen for 400 ms",
                  [](World &Requests, std::size_t /*Gate*/) {
                    Requests.freezeIngress(400ms);
                  }},
    RequestsFault{"ingress frozen past the deadline",
                  [](World &Requests, std::size_t /*Gate*/) {
                    Requests.freezeIngress(4s);
                  },
                  false},
    RequestsFault{"messages to the gate lost",
                  [](World &Requests, std::size_t Gate) {
                    Requests.silenceLinks(Gate, Direction::ToGate);
                  }},
    RequestsFault{"messages to the ingress lost",
                  [](World &Requests, std::size_t Gate) {
                    Requests.silenceLinks(Gate, Direction::ToIngress);
                  }},
    RequestsFault{"messages to the gate delayed by 700 ms",
                  [](World &Requests, std::size_t Gate) {
                    Requests.delayLinks(Gate, Direction::ToGate, 700ms);
                  }},
    RequestsFault{"messages to the ingress delayed by 700 ms",
                  [](World &Requests, std::size_t Gate) {
                    Requests.delayLinks(Gate, Direction::ToIngress, 700ms);
                  }},
    RequestsFault{"messages delayed past the deadline",
                  [](World &Requests, std::size_t Gate) {
                    Requests.delayLinks(Gate, Direction::ToGate, 4s);
                    Requests.delayLinks(Gate, Direction::ToIngress, 4s);
                  }},
    RequestsFault{
        "links broken",
        [](World &Requests, std::size_t Gate) { Requests.breakLinks(Gate); }},
    RequestsFault{"gate isolated for 1 s",
                  [](World &Requests, std::size_t Gate) {
                    Requests.isolateGate(Gate, 1s);
                  }},
    RequestsFault{"gate isolated past the deadline",
                  [](World &Requests, std::size_t Gate) {
                    Requests.isolateGate(Gate, 4s);
                  }},
    RequestsFault{
        "target reset",
        [](World &Requests, std::size_t Gate) { Requests.resetTarget(Gate); }},
    RequestsFault{"target refuses connections",
                  [](World &Requests, std::size_t Gate) {
                    Requests.refuseAtTarget(Gate, 500ms);
                  }},
    RequestsFault{"availability zone out",
                  [](World &Requests, std::size_t /*Gate*/) {
                    Requests.publishZone(ZoneState::Out);
                  }},
    RequestsFault{"availability zone back in",
                  [](World &Requests, std::size_t /*Gate*/) {
                    Requests.publishZone(ZoneState::In);
                  }},
    RequestsFault{
        "gate drains",
        [](World &Requests, std::size_t Gate) { Requests.drainGate(Gate); }},
};

} // namespace

std::span<const RequestsFault> requestsFaults() { return Faults; }

void scheduleCalls(RequestsWorld &World) {
  // Opens the links and lets the ingress compare the gates.
  World.callAt(10ms, "GET", 1ms);
  World.callAt(100ms, "POST", 20ms);
  World.callAt(100ms, "GET", 30ms);
  World.callAt(101ms, "POST", 5ms);
  World.callAt(101ms, "GET", 10ms);
  World.callAt(102ms, "POST", 40ms);
  // Arrives while the fault is being handled.
  World.callAt(300ms, "POST", 20ms);
  World.callAt(700ms, "POST", 20ms);
  World.callAt(900ms, "GET", 20ms);
}

} // namespace dandelionfall::core
