#ifndef SYCAMOREREACH_NETWORK_PROBLEM_H
#define SYCAMOREREACH_NETWORK_PROBLEM_H

#include "Common/Refusal.h"
#include "Network/HttpMessage.h"

namespace Network {

/// A response that carries the refusal as a problem document (RFC 9457) with
/// the members type, title, status, detail and outcome. Has a Retry-After
/// header if the refusal is temporary.
HttpResponse problemResponse(const Common::Refusal &Refusal);

/// The problem document without a response around it.
std::string problemJson(const Common::Refusal &Refusal);

} // namespace Network

#endif
