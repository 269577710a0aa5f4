#include "contract/requests_faults.h"

#include <array>

namespace dandelionfall::core {

namespace {

using World = RequestsWorld;

constexpr std::array Faults = {
    RequestsFault{"gate killed",
                  [](World &On, std::size_t Gate) { On.killGate(Gate); }},
    RequestsFault{"gate restarted",
                  [](World &On, std::size_t Gate) { On.restartGate(Gate); }},
    RequestsFault{
        "gate frozen for 400 ms",
        [](World &On, std::size_t Gate) { On.freezeGate(Gate, 400ms); }},
    RequestsFault{"gate frozen past the deadline",
                  [](World &On, std::size_t Gate) { On.freezeGate(Gate, 4s); }},
    RequestsFault{
        "ingress frozen for 400 ms",
        [](World &On, std::size_t /*Gate*/) { On.freezeIngress(400ms); }},
    RequestsFault{"ingress frozen past the deadline",
                  [](World &On, std::size_t /*Gate*/) { On.freezeIngress(4s); },
                  false},
    RequestsFault{"link silent to the gate",
                  [](World &On, std::size_t Gate) {
                    On.silenceLinks(Gate, Direction::ToGate);
                  }},
    RequestsFault{"link silent to the ingress",
                  [](World &On, std::size_t Gate) {
                    On.silenceLinks(Gate, Direction::ToIngress);
                  }},
    RequestsFault{"link late to the gate by 700 ms",
                  [](World &On, std::size_t Gate) {
                    On.holdLinks(Gate, Direction::ToGate, 700ms);
                  }},
    RequestsFault{"link late to the ingress by 700 ms",
                  [](World &On, std::size_t Gate) {
                    On.holdLinks(Gate, Direction::ToIngress, 700ms);
                  }},
    RequestsFault{"link late past the deadline",
                  [](World &On, std::size_t Gate) {
                    On.holdLinks(Gate, Direction::ToGate, 4s);
                    On.holdLinks(Gate, Direction::ToIngress, 4s);
                  }},
    RequestsFault{"links broken",
                  [](World &On, std::size_t Gate) { On.breakLinks(Gate); }},
    RequestsFault{"gate cut off for 1 s",
                  [](World &On, std::size_t Gate) { On.cutOff(Gate, 1s); }},
    RequestsFault{"gate cut off past the deadline",
                  [](World &On, std::size_t Gate) { On.cutOff(Gate, 4s); }},
    RequestsFault{"target reset",
                  [](World &On, std::size_t Gate) { On.resetTarget(Gate); }},
    RequestsFault{
        "target refuses connections",
        [](World &On, std::size_t Gate) { On.refuseAtTarget(Gate, 500ms); }},
    RequestsFault{"availability zone out",
                  [](World &On,
                     std::size_t /*Gate*/) { On.publishZone(ZoneState::Out); }},
    RequestsFault{
        "availability zone back",
        [](World &On, std::size_t /*Gate*/) { On.publishZone(ZoneState::In); }},
    RequestsFault{"gate drains",
                  [](World &On, std::size_t Gate) { On.drainGate(Gate); }},
};

} // namespace

std::span<const RequestsFault> requestsFaults() { return Faults; }

void makeCalls(RequestsWorld &World) {
  // Opens the links and tells the gates apart.
  World.callAt(10ms, "GET", 1ms);
  World.callAt(100ms, "POST", 20ms);
  World.callAt(100ms, "GET", 30ms);
  World.callAt(101ms, "POST", 5ms);
  World.callAt(101ms, "GET", 10ms);
  World.callAt(102ms, "POST", 40ms);
  // Comes while the fault is being dealt with.
  World.callAt(300ms, "POST", 20ms);
  World.callAt(700ms, "POST", 20ms);
  World.callAt(900ms, "GET", 20ms);
}

} // namespace dandelionfall::core
