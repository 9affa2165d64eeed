#include "Routing/LivenessEvidence.h"

#include <algorithm>

namespace Routing {

void LivenessEvidence::recordBytes(const ServerIncarnation &Server,
                                   Common::TimePoint SentAt,
                                   Common::TimePoint Now) {
  std::deque<Answer> &Known = this->Answers[Server];
  const auto Position =
      std::lower_bound(Known.begin(), Known.end(), SentAt,
                       [](const Answer &Each, Common::TimePoint At) {
                         return Each.SentAt < At;
                       });
  if (Position != Known.end() && Position->SentAt == SentAt) {
    Position->LastBytesAt = Now;
    return;
  }
  Known.insert(Position, {SentAt, Now});
  if (Known.size() > MaxAnswersPerServer)
    Known.erase(std::min_element(Known.begin(), Known.end(),
                                 [](const Answer &Left, const Answer &Right) {
                                   return Left.LastBytesAt < Right.LastBytesAt;
                                 }));
}

bool LivenessEvidence::hasSurvived(const ServerIncarnation &Server,
                                   Common::TimePoint Time) const {
  const auto Known = this->Answers.find(Server);
  return Known != this->Answers.end() &&
         std::any_of(Known->second.begin(), Known->second.end(),
                     [Time](const Answer &Each) {
                       return Each.LastBytesAt > Time + MessageDelay &&
                              Each.SentAt < Time + MaxRequestDelay;
                     });
}

void LivenessEvidence::removeExpired(Common::TimePoint Now) {
  for (auto &Each : this->Answers)
    std::erase_if(Each.second, [Now](const Answer &Old) {
      return Now - Old.LastBytesAt > Retention;
    });
  std::erase_if(this->Answers,
                [](const auto &Each) { return Each.second.empty(); });
}

} // namespace Routing
