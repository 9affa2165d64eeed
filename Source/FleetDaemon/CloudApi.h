#ifndef SYCAMOREREACH_FLEETDAEMON_CLOUDAPI_H
#define SYCAMOREREACH_FLEETDAEMON_CLOUDAPI_H

#include "Configuration/Declaration.h"
#include "Fleet/FleetPlan.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

/// \file
/// Conversion between the cloud's JSON, the planner's types and the
/// declaration.

namespace FleetDaemon {

/// Parses the response to GET /v1/offers; InvalidArgument when malformed.
absl::StatusOr<std::vector<Fleet::Offer>> parseOffers(const std::string &Json);
/// Parses the response to GET /v1/hosts; InvalidArgument when malformed.
absl::StatusOr<std::vector<Fleet::ProvisionedHost>>
parseHosts(const std::string &Json);
/// The body of POST /v1/hosts.
std::string encodeStartHost(const Fleet::StartHost &Action,
                            Common::FencingNumber Fencing);
/// The body of POST /v1/hosts/HOST/load.
std::string encodeLoadModel(const Fleet::LoadModel &Action,
                            Common::FencingNumber Fencing);

/// The requirements of the declared model services. The urgent floor is the
/// floor of the most urgent priority, a share of the replicas, rounded up.
std::vector<Fleet::ServiceRequirement>
serviceRequirements(const Configuration::Declaration &Declaration);

} // namespace FleetDaemon

#endif
