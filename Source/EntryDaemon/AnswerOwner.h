#ifndef SYCAMOREREACH_ENTRYDAEMON_ANSWEROWNER_H
#define SYCAMOREREACH_ENTRYDAEMON_ANSWEROWNER_H

#include "Network/Http1Client.h"
#include "platform/RequestHeaders.h"

#include <string>

namespace EntryDaemon {

/// Whose response was read where that of the current request is due. Servers
/// may send responses that no request is due for, and copies of earlier ones.
enum class AnswerOwner {
  CurrentRequest,
  /// Another request, by the id that the response names.
  OtherRequest,
  /// The response does not tell.
  Unknown,
};

/// A connection carries each request id once, so a response with this id
/// answers the current send of the request and no earlier one. Behind a skipped
/// response the framing may be wrong, as that one may have been cut off; what
/// permits another execution is then not believed.
inline AnswerOwner ownerOf(const Platform::ResponseHeaders &Answer,
                           const std::string &RequestId,
                           const Network::ConnectionUse &Connection,
                           bool BehindSkippedAnswer) {
  if (Answer.HasConflictingIds)
    return AnswerOwner::Unknown;
  if (!Answer.RequestId.empty() && Answer.RequestId != RequestId)
    return AnswerOwner::OtherRequest;
  if (BehindSkippedAnswer && Answer.NotExecuted)
    return AnswerOwner::Unknown;
  return !Answer.RequestId.empty() || Connection.Use == 1
             ? AnswerOwner::CurrentRequest
             : AnswerOwner::Unknown;
}

} // namespace EntryDaemon

#endif
