#include "core/ingress/answer_sizes.h"

#include "core/ingress/limits.h"

namespace dandelionfall::core::ingress {

void AnswerSizes::record(const std::string &Kind, std::size_t Bytes) {
  const auto Sample = static_cast<double>(Bytes);
  const auto Smooth = [Sample](double &Mean) {
    Mean += SmoothingWeight * (Sample - Mean);
  };
  if (m_Means.empty() && m_MeanOfAll == 0)
    m_MeanOfAll = Sample;
  Smooth(m_MeanOfAll);
  const auto Found = m_Means.find(Kind);
  if (Found != m_Means.end())
    return Smooth(Found->second);
  if (m_Means.size() >= MaxKinds)
    m_Means.clear();
  m_Means.emplace(Kind, Sample);
}

double AnswerSizes::expected(const std::string &Kind) const {
  const auto Found = m_Means.find(Kind);
  return Found == m_Means.end() ? m_MeanOfAll : Found->second;
}

} // namespace dandelionfall::core::ingress
