#include "configuration_sample.h"
#include "property_check.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace dandelionfall::core;
using dandelionfall::holds;

namespace {

std::string drawName() {
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abcXYZ019-_."))));
}

Manifest drawManifest() {
  Manifest List;
  const auto Count = *rc::gen::inRange(0, 20);
  for (int Number = 0; Number < Count; ++Number)
    List.m_Parts.emplace("service/" + drawName(),
                         *rc::gen::arbitrary<Digest>());
  if (*rc::gen::arbitrary<bool>())
    List.m_Parts.emplace("zones", *rc::gen::arbitrary<Digest>());
  const Version Number =
      *rc::gen::suchThat<Version>([](Version Drawn) { return Drawn > 0; });
  List.m_Stamp = {Number, computeDigest(writeManifest(Number, List.m_Parts))};
  return List;
}

std::string corruptOneByte(std::string Text) {
  const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
  const auto Change = *rc::gen::inRange<int>(1, 256);
  Text[Position] = static_cast<char>(Text[Position] ^ Change);
  return Text;
}

// Asserts that every reference of an accepted version is defined.
void assertNoDanglingReference(const Configuration &Config) {
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    RC_ASSERT(Config.m_Profiles.contains(ServicePtr->m_Profile));
    for (const Target &Each : ServicePtr->m_Targets) {
      RC_ASSERT(Config.m_Zones.contains(Each.m_Zone));
      RC_ASSERT(!Each.m_GateAddress.empty());
      RC_ASSERT(!Each.m_Host.empty());
    }
    for (const Route &Each : ServicePtr->m_Routes)
      RC_ASSERT(
          findRoute(Config, Each.m_HostName, Each.m_PathPrefix).m_Service ==
          ServicePtr.get());
  }
}

std::string drawService(const std::string &Name) {
  std::string Text = "[service " + Name + "]\nprofile = " +
                     *rc::gen::element<std::string>("board", "x") + "\n";
  const auto Routes = *rc::gen::inRange(0, 3);
  for (int Number = 0; Number < Routes; ++Number)
    Text += "[route /" + *rc::gen::element<std::string>("a", "b", "c", "d/e") +
            "]\n";
  const auto Targets = *rc::gen::inRange(0, 3);
  for (int Number = 0; Number < Targets; ++Number)
    Text += "[target " + Name + std::to_string(*rc::gen::inRange(0, 4)) +
            "]\nhost = h\nzone = " +
            *rc::gen::element<std::string>("in1", "in2", "gone") +
            "\ngate = 127.0.0.1:" + std::to_string(*rc::gen::inRange(1, 99)) +
            "\n";
  return Text;
}

} // namespace

TEST_CASE("a manifest is equal after formatting and parsing") {
  CHECK(holds("format and parse a manifest", 300, [] {
    const Manifest List = drawManifest();
    RC_ASSERT(readManifest(
                  writeManifest(List.m_Stamp.m_Version, List.m_Parts)) == List);
  }));
}

TEST_CASE(
    "a manifest with one byte changed is never accepted as the original") {
  CHECK(holds("corrupt a manifest", 2000, [] {
    const Manifest List = drawManifest();
    const std::string Text =
        writeManifest(List.m_Stamp.m_Version, List.m_Parts);
    try {
      RC_ASSERT(readManifest(corruptOneByte(Text)).m_Stamp != List.m_Stamp);
    } catch (const Error &Fault) {
      RC_ASSERT(Fault.kind() == ErrorKind::BadConfiguration);
    }
  }));
}

TEST_CASE("a part with one byte changed is refused under the old manifest") {
  CHECK(holds("corrupt a part", 1000, [] {
    TextMap Texts = sampleTexts();
    const Manifest List = makeManifest(1, makeParts(Texts));
    const auto Name = *rc::gen::element<std::string>(
        "zones", "profiles", "service/slotboard", "service/escortdesk");
    Texts[Name] = corruptOneByte(Texts[Name]);
    const PartMap Parts = makeParts(Texts);
    RC_ASSERT(missingParts(List, Parts) == std::vector<std::string>{Name});
    RC_ASSERT_THROWS_AS(buildConfiguration(List, Parts), Error);
  }));
}

TEST_CASE("a part with one byte changed is refused or gives no dangling "
          "reference under a manifest of its own") {
  int Accepted = 0;
  CHECK(holds("corrupt a part and its manifest", 3000, [&Accepted] {
    TextMap Texts = sampleTexts();
    const auto Name = *rc::gen::element<std::string>(
        "zones", "profiles", "service/slotboard", "service/escortdesk");
    Texts[Name] = corruptOneByte(Texts[Name]);
    const PartMap Parts = makeParts(Texts);
    try {
      assertNoDanglingReference(
          *buildConfiguration(makeManifest(1, Parts), Parts));
      RC_ASSERT(checkConfiguration(Parts).empty());
      ++Accepted;
    } catch (const Error &Fault) {
      RC_ASSERT(Fault.kind() == ErrorKind::BadConfiguration);
      RC_ASSERT(!checkConfiguration(Parts).empty());
    }
  }));
  CHECK(Accepted > 0);
}

TEST_CASE("a random configuration is refused or has no dangling reference, "
          "built from scratch or from an earlier one") {
  int Accepted = 0;
  CHECK(holds("random services", 3000, [&Accepted] {
    const TextMap Fixed = {{"zones", "[zone in1]\n[zone in2]\n"},
                           {"profiles", "[profile board]\n"}};
    TextMap First = Fixed;
    TextMap Second = Fixed;
    First["service/s"] = drawService("s");
    Second["service/s"] =
        *rc::gen::arbitrary<bool>() ? First["service/s"] : drawService("s");
    Second["service/t"] = drawService("t");
    const PartMap Before = makeParts(First);
    const PartMap After = makeParts(Second);
    try {
      const ConfigurationPtr Old =
          buildConfiguration(makeManifest(1, Before), Before);
      assertNoDanglingReference(*Old);
      const ConfigurationPtr New =
          buildConfiguration(makeManifest(2, After), After, Old.get(), &Before);
      assertNoDanglingReference(*New);
      ++Accepted;
    } catch (const Error &Fault) {
      RC_ASSERT(Fault.kind() == ErrorKind::BadConfiguration);
    }
  }));
  CHECK(Accepted > 0);
}
