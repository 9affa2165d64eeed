#ifndef SYCAMOREREACH_NETWORK_PROBLEM_H
#define SYCAMOREREACH_NETWORK_PROBLEM_H

#include "Common/Refusal.h"
#include "Network/HttpMessage.h"

namespace Network {

/// A refusal as a problem document (RFC 9457) with the members type, title,
/// status, detail and outcome, and Retry-After where waiting helps.
HttpAnswer problemAnswer(const Common::Refusal &Refusal);

/// The problem document alone.
std::string problemJson(const Common::Refusal &Refusal);

} // namespace Network

#endif
