#ifndef SYCAMOREREACH_NETWORK_RETRYAFTER_H
#define SYCAMOREREACH_NETWORK_RETRYAFTER_H

#include "Common/Time.h"
#include "Network/HttpMessage.h"

#include <absl/status/statusor.h>
#include <optional>

namespace Network {

/// Longer times are reduced to this, so that time sums cannot overflow and a
/// wrong unit cannot take a server out for days.
inline constexpr Common::Duration MaxRetryAfter = std::chrono::hours(1);

/// The time in a response's Retry-After headers, in seconds with an optional
/// fraction; the longest valid one if there are several. Nothing if there is no
/// such header. Returns InvalidArgument if none of them is valid. An HTTP date
/// is not valid, since the wall clocks of the hosts may differ by more than the
/// time that it means.
absl::StatusOr<std::optional<Common::Duration>>
parseRetryAfter(const HttpHeaders &Headers);

/// Whether a response with this status turns its request away: 503 or 429.
bool isRejection(int Status);

/// The Retry-After of a rejection; nothing for other responses, which do not
/// ask for it.
absl::StatusOr<std::optional<Common::Duration>>
parseRejectionRetryAfter(int Status, const HttpHeaders &Headers);

} // namespace Network

#endif
