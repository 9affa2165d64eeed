#ifndef SYCAMOREREACH_FLEETDAEMON_CLOUDAPI_H
#define SYCAMOREREACH_FLEETDAEMON_CLOUDAPI_H

#include "Configuration/Declaration.h"
#include "Fleet/FleetPlan.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

/// \file
/// The cloud's JSON and the planner's types.

namespace FleetDaemon {

absl::StatusOr<std::vector<Fleet::Offer>> parseOffers(const std::string &Json);
absl::StatusOr<std::vector<Fleet::HeldHost>>
parseHosts(const std::string &Json);
std::string startBody(const Fleet::StartHost &Wanted,
                      Common::FencingNumber Fencing);
std::string loadBody(const Fleet::LoadModel &Wanted,
                     Common::FencingNumber Fencing);

/// What the declared model services need. Urgent work is owed the share of
/// the most urgent priority's floor.
std::vector<Fleet::ServiceNeed>
needsOf(const Configuration::Declaration &Declared);

} // namespace FleetDaemon

#endif
