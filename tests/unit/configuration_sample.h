/// \file
/// A small valid configuration that tests modify in one place at a time.
#ifndef DANDELIONFALL_UNIT_CONFIGURATION_SAMPLE_H
#define DANDELIONFALL_UNIT_CONFIGURATION_SAMPLE_H

#include "dandelionfall/core/configuration_reader.h"

#include <string>

namespace dandelionfall::core {

/// Texts of parts by part name.
using TextMap = std::map<std::string, std::string, std::less<>>;

inline TextMap sampleTexts() {
  return {
      {"zones", "[zone kalamaria]\nregion = gr-north\n\n[zone sindos]\n"
                "region = gr-north\nstate = out\n"},
      {"profiles", "[profile board]\ndeadline_ms = 1000\n\n"
                   "[profile booking]\nretry_percent = 0\n"},
      {"service/slotboard",
       "[service slotboard]\nprofile = board\n\n[route /slotboard]\n\n"
       "[target slotboard-1]\nhost = host-1\nzone = kalamaria\n"
       "gate = 127.0.0.1:7101\nslots = 12\nconnections = 120\n"},
      {"service/escortdesk",
       "[service escortdesk]\nprofile = booking\n\n[route /escortdesk]\n"
       "idempotent = never\n\n[target escortdesk-1]\nhost = host-2\n"
       "zone = sindos\ngate = 127.0.0.1:7102\n"},
  };
}

inline PartMap makeParts(const TextMap &Texts) {
  PartMap Parts;
  for (const auto &[Name, Text] : Texts)
    Parts.emplace(Name, makePart(Name, Text));
  return Parts;
}

inline Manifest makeManifest(Version Number, const PartMap &Parts) {
  std::map<std::string, Digest, std::less<>> Digests;
  for (const auto &[Name, Value] : Parts)
    Digests.emplace(Name, Value->m_Digest);
  return readManifest(writeManifest(Number, Digests));
}

} // namespace dandelionfall::core

#endif // DANDELIONFALL_UNIT_CONFIGURATION_SAMPLE_H
