/// \file
/// Sizes of the answers to each kind of request.
#ifndef DANDELIONFALL_CORE_INGRESS_ANSWER_SIZES_H
#define DANDELIONFALL_CORE_INGRESS_ANSWER_SIZES_H

#include <cstddef>
#include <map>
#include <string>

namespace dandelionfall::core::ingress {

/// Learns the mean size of the answers to each kind of request, in bounded
/// space.
class AnswerSizes {
public:
  /// Maximum number of kinds; the table starts anew with the next one.
  static constexpr std::size_t MaxKinds = 1024;

  /// Records an answer.
  void record(const std::string &Kind, std::size_t Bytes);
  /// \returns the smoothed size in bytes; that of all kinds if none of this
  /// kind is known, and 0 if there has been no answer.
  double expected(const std::string &Kind) const;
  /// \returns the number of kinds in the table.
  std::size_t size() const { return m_Means.size(); }

private:
  std::map<std::string, double> m_Means;
  double m_MeanOfAll = 0;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_ANSWER_SIZES_H
