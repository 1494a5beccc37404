#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control/NodeState.h"
#include "resources/Snapshot.h"

namespace boragepitch::rollout {

/** A manifest that the endpoint's VM should hold. */
struct WantedManifest
{
  std::string manifest;
  std::string model;
  std::string version;
  std::string origin;   ///< "name/version" at the weight store.
  uint64_t size = 0;    ///< Bytes.
  int urgency = 0;      ///< 9 goes first.
  uint64_t since = 0;   ///< Revision that declared it; the lower goes first at equal urgency.
  bool required = true; ///< False: another version, not fetched, kept while there is room.

  bool operator==(const WantedManifest&) const = default;
};

/** A model that the endpoint should serve. */
struct Target
{
  std::string serving;    ///< Name of the Serving resource.
  control::Served wanted; ///< Model, version and manifest of the declaration.
  std::vector<control::Served> adapters;
  /** The Rollout lets this endpoint switch to `wanted` now. A Rollout that is older than the last
   * change of the Serving permits nothing. */
  bool allowed = false;
  /** The version of the last Rollout that included this endpoint, used only when the engine
   * serves nothing and `wanted` is not allowed yet; empty model when there is none. */
  control::Served fallback;
  uint64_t rolloutFencing = 0;

  bool operator==(const Target&) const = default;
};

struct DesiredState
{
  bool inService = false;
  resources::Role role = resources::Role::General;
  bool honoursFencing = true;
  std::vector<Target> targets;           ///< Highest urgency first.
  std::vector<WantedManifest> manifests; ///< Highest urgency first; no duplicates.

  bool operator==(const DesiredState&) const = default;
};

/** What one endpoint should hold and serve; empty when it is not declared or not for models. */
DesiredState desiredState(const resources::Snapshot& aSnapshot, std::string_view aEndpoint);

/** What one Serving asks of an endpoint that it covers; empty model without a ModelVersion. */
Target targetOf(const resources::Snapshot& aSnapshot,
                const resources::Resource& aServing,
                std::string_view aEndpoint);

/** The manifests of aDesired, and what the engine has loaded as required, so that a served version
 * is not dropped before its switch. */
std::vector<WantedManifest> manifestsToHold(const DesiredState& aDesired,
                                            const std::vector<control::Served>& aLoaded);

} // namespace boragepitch::rollout
