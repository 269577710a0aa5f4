#include "dandelionfall/core/request_fingerprint.h"

#include "dandelionfall/core/identity.h"

#include <boost/algorithm/string/predicate.hpp>
#include <xxhash.h>

#include <string_view>
#include <vector>

namespace dandelionfall::core {

namespace {

constexpr std::string_view CredentialsField = "Authorization";

XXH128_hash_t hashOf(std::string_view Text) {
  return XXH3_128bits(Text.data(), Text.size());
}

} // namespace

RequestFingerprint fingerprintOf(const HttpRequest &Request) {
  // One hash for each part, so that moving bytes from one part to the next
  // changes the result.
  std::vector<XXH128_hash_t> Parts = {
      hashOf(Request.m_Method), hashOf(Request.m_HostName),
      hashOf(Request.m_Path), hashOf(Request.m_Body)};
  for (const HttpField &Field : Request.m_Fields) {
    if (boost::algorithm::iequals(Field.m_Name, CredentialsField))
      Parts.push_back(hashOf(Field.m_Value));
  }
  const XXH128_hash_t Whole =
      XXH3_128bits(Parts.data(), Parts.size() * sizeof(Parts[0]));
  return {Whole.high64, Whole.low64};
}

std::string toString(const RequestFingerprint &Value) {
  return toString(Incarnation{Value.m_High, Value.m_Low});
}

} // namespace dandelionfall::core
