#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control/NodeState.h"
#include "resources/Snapshot.h"

namespace boragepitch::rollout {

/** A manifest that the endpoint's VM should store. */
struct WantedManifest
{
  std::string manifest;
  std::string model;
  std::string version;
  std::string origin;      ///< "name/version" in the weight store.
  uint64_t size = 0;       ///< Bytes.
  int urgency = 0;         ///< 0 to 9; the highest comes first.
  uint64_t declaredAt = 0; ///< Declaring revision; the lowest comes first at equal urgency.
  bool required = true;    ///< False: another version; not fetched, but kept while space lasts.

  bool operator==(const WantedManifest&) const = default;
};

/** A model that the endpoint should serve. */
struct Target
{
  std::string serving;         ///< Name of the Serving resource.
  control::ServedModel wanted; ///< Declared model, version and manifest.
  std::vector<control::ServedModel> adapters;
  /** The Rollout permits this endpoint to switch to `wanted` now. A Rollout that is older than the
   * last change of the Serving permits nothing. */
  bool allowed = false;
  /** Version of an outdated Rollout that lists this endpoint. Loaded only if the engine has no
   * model and `wanted` is not complete on the VM. The model is empty if there is none. */
  control::ServedModel fallback;
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

/** What one endpoint should store and serve; empty if it is not a declared model endpoint. */
DesiredState desiredState(const resources::Snapshot& aSnapshot, std::string_view aEndpoint);

/** Target of one Serving for an endpoint that it covers; empty if its ModelVersion is missing. */
Target targetOf(const resources::Snapshot& aSnapshot,
                const resources::Resource& aServing,
                std::string_view aEndpoint);

/** Manifests of aDesired plus those of the loaded models. The latter are marked as required, so
 * that a served version is not evicted before the switch. */
std::vector<WantedManifest> manifestsToHold(const DesiredState& aDesired,
                                            const std::vector<control::ServedModel>& aLoaded);

} // namespace boragepitch::rollout
