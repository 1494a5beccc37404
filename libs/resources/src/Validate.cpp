#include "resources/Validate.h"

#include <algorithm>
#include <map>
#include <set>

namespace boragepitch::resources {

namespace {

using base::ErrorKind;
using Key = Snapshot::Key;

std::string label(const std::string& aKind, const std::string& aName)
{
  return aKind + "/" + aName;
}

std::string label(const Resource& aResource)
{
  return label(aResource.kind, aResource.name);
}

base::Error error(ErrorKind aKind, std::string aField, std::string aMessage, std::string aRemedy)
{
  return base::fail(aKind, std::move(aField), std::move(aMessage), std::move(aRemedy)).value();
}

/** An inconsistency between resources. `missing` is the absent resource when a reference is
 * dangling. */
struct Fault
{
  std::string subject; ///< Label of the inconsistent resource.
  std::string field;
  std::string message;
  std::string remedy;
  Key missing;

  auto operator<=>(const Fault&) const = default;
};

std::string modelLabel(const std::string& aModel, const std::string& aVersion)
{
  return "model " + aModel + " version " + aVersion;
}

class FaultFinder
{
public:
  explicit FaultFinder(const Snapshot& aSnapshot)
    : mSnapshot(aSnapshot)
  {
    indexModels();
  }

  std::set<Fault> find()
  {
    mSnapshot.each<Vm>([&](const Resource& aSubject, const Vm& aVm) {
      requireExists(aSubject, "spec.zone", "Zone", aVm.zone);
    });
    mSnapshot.each<Endpoint>(
      [&](const Resource& aSubject, const Endpoint& aSpec) { checkEndpoint(aSubject, aSpec); });
    mSnapshot.each<ModelVersion>(
      [&](const Resource& aSubject, const ModelVersion& aSpec) { checkModel(aSubject, aSpec); });
    mSnapshot.each<Serving>(
      [&](const Resource& aSubject, const Serving& aSpec) { checkServing(aSubject, aSpec); });
    checkOverlaps();
    return std::move(mFaults);
  }

private:
  void indexModels()
  {
    mSnapshot.each<ModelVersion>([&](const Resource& aResource, const ModelVersion& aSpec) {
      if (aSpec.adapterOf.empty()) {
        mBaseModels.insert(aSpec.model);
      }
      auto [first, isNew] = mVersions.try_emplace({ aSpec.model, aSpec.version }, &aResource);
      if (!isNew) {
        add(aResource,
            "spec.version",
            label(*first->second) + " already declares " + modelLabel(aSpec.model, aSpec.version),
            "give another version, since a version never changes");
      }
    });
  }

  void add(const Resource& aSubject,
           std::string aField,
           std::string aMessage,
           std::string aRemedy,
           Key aMissing = {})
  {
    mFaults.insert({ label(aSubject),
                     std::move(aField),
                     std::move(aMessage),
                     std::move(aRemedy),
                     std::move(aMissing) });
  }

  void requireExists(const Resource& aSubject,
                     const std::string& aField,
                     const std::string& aKind,
                     const std::string& aName)
  {
    if (mSnapshot.find(aKind, aName) == nullptr) {
      add(aSubject,
          aField,
          label(aKind, aName) + " does not exist",
          "create it first, or in the same batch",
          { aKind, aName });
    }
  }

  void checkEndpoint(const Resource& aSubject, const Endpoint& aSpec)
  {
    requireExists(aSubject, "spec.vm", "Vm", aSpec.vm);
    if (aSpec.type == EndpointType::Service) {
      requireExists(aSubject, "spec.service", "Service", aSpec.service);
    }
    if (aSpec.coldLimit > aSpec.warmLimit) {
      add(aSubject,
          "spec.coldLimit",
          "is greater than warmLimit",
          "give a coldLimit of at most warmLimit");
    }
  }

  void checkModel(const Resource& aSubject, const ModelVersion& aSpec)
  {
    if (!aSpec.adapterOf.empty() && !mBaseModels.contains(aSpec.adapterOf)) {
      add(aSubject,
          "spec.adapterOf",
          "no ModelVersion of the model " + aSpec.adapterOf + " exists",
          "create one first, or in the same batch",
          { "model", aSpec.adapterOf });
    }
  }

  void checkServing(const Resource& aSubject, const Serving& aSpec)
  {
    auto version = mVersions.find({ aSpec.model, aSpec.version });
    if (version == mVersions.end()) {
      add(aSubject,
          "spec.version",
          "no ModelVersion declares " + modelLabel(aSpec.model, aSpec.version),
          "create it first, or in the same batch",
          { "model", aSpec.model + "/" + aSpec.version });
    } else if (!std::get<ModelVersion>(version->second->spec).adapterOf.empty()) {
      add(aSubject,
          "spec.model",
          aSpec.model + " is an adapter",
          "serve its base model and list the adapter in spec.adapters");
    }
    for (size_t i = 0; i < aSpec.zones.size(); ++i) {
      requireExists(aSubject, "spec.zones[" + std::to_string(i) + "]", "Zone", aSpec.zones[i]);
    }
    checkAdapters(aSubject, aSpec);
  }

  void checkAdapters(const Resource& aSubject, const Serving& aSpec)
  {
    std::set<std::string> models;
    for (size_t i = 0; i < aSpec.adapters.size(); ++i) {
      std::string field = "spec.adapters[" + std::to_string(i) + "]";
      requireExists(aSubject, field, "ModelVersion", aSpec.adapters[i]);
      const auto* adapter = mSnapshot.spec<ModelVersion>("ModelVersion", aSpec.adapters[i]);
      if (adapter == nullptr) {
        continue;
      }
      if (adapter->adapterOf != aSpec.model) {
        add(aSubject,
            field,
            aSpec.adapters[i] + " is not an adapter of " + aSpec.model,
            "list ModelVersions whose adapterOf is " + aSpec.model);
      }
      if (!models.insert(adapter->model).second) {
        add(aSubject, field, "a second version of adapter " + adapter->model, "list one version");
      }
    }
  }

  void checkOverlaps()
  {
    std::map<std::pair<std::string, std::string>, std::string> owners;
    mSnapshot.each<Serving>([&](const Resource& aSubject, const Serving& aServing) {
      mSnapshot.each<Endpoint>([&](const Resource& aEndpoint, const Endpoint& aSpec) {
        if (!covers(mSnapshot, aServing, aEndpoint.name, aSpec)) {
          return;
        }
        auto [owner, isNew] =
          owners.try_emplace({ aServing.model, aEndpoint.name }, label(aSubject));
        if (!isNew) {
          addOverlap(aSubject, owner->second, aEndpoint.name);
        }
      });
    });
  }

  void addOverlap(const Resource& aSubject, const std::string& aOwner, const std::string& aEndpoint)
  {
    // One fault per pair of Servings; one per endpoint would bury the other errors.
    if (mOverlaps.insert({ label(aSubject), aOwner }).second) {
      add(aSubject,
          "spec.endpoints",
          aOwner + " already declares this model on Endpoint/" + aEndpoint,
          "make the zones or endpoint prefixes of the two Servings disjoint");
    }
  }

  const Snapshot& mSnapshot;
  std::set<Fault> mFaults;
  std::set<std::string> mBaseModels;
  std::map<std::pair<std::string, std::string>, const Resource*> mVersions;
  std::set<std::pair<std::string, std::string>> mOverlaps;
};

/** Keys by which other resources may refer to a resource. */
std::vector<Key> referenceKeys(const Resource& aResource)
{
  std::vector<Key> keys{ { aResource.kind, aResource.name } };
  if (const auto* model = std::get_if<ModelVersion>(&aResource.spec)) {
    keys.emplace_back("model", model->model);
    keys.emplace_back("model", model->model + "/" + model->version);
  }
  return keys;
}

std::map<Key, std::string> removedKeys(const Snapshot& aBase, const std::vector<Change>& aChanges)
{
  std::map<Key, std::string> removed;
  for (const Change& change : aChanges) {
    const Resource* stored = aBase.find(change.resource.kind, change.resource.name);
    if (change.type == ChangeType::Remove && stored != nullptr) {
      for (const Key& key : referenceKeys(*stored)) {
        removed[key] = label(*stored);
      }
    }
  }
  return removed;
}

void checkVersion(const Snapshot& aBase, const Change& aChange, std::vector<base::Error>& aErrors)
{
  const Resource& proposed = aChange.resource;
  const Resource* stored = aBase.find(proposed.kind, proposed.name);
  if (aChange.type == ChangeType::Create) {
    if (stored != nullptr) {
      aErrors.push_back(error(ErrorKind::Conflict,
                              label(proposed),
                              "exists already",
                              "replace it with its resourceVersion, or choose another name"));
    }
    return;
  }
  if (stored == nullptr) {
    aErrors.push_back(
      error(ErrorKind::NotFound, label(proposed), "does not exist", "check kind and name"));
  } else if (stored->resourceVersion != proposed.resourceVersion) {
    aErrors.push_back(error(ErrorKind::Conflict,
                            label(proposed) + " resourceVersion",
                            "is " + std::to_string(stored->resourceVersion) + ", not " +
                              std::to_string(proposed.resourceVersion),
                            "read the resource again, decide again, and repeat with its version"));
  }
}

bool isSameModel(const ModelVersion& aLeft, const ModelVersion& aRight)
{
  return aLeft.model == aRight.model && aLeft.version == aRight.version &&
         aLeft.manifest == aRight.manifest && aLeft.size == aRight.size &&
         aLeft.origin == aRight.origin && aLeft.adapterOf == aRight.adapterOf;
}

void checkKind(const Snapshot& aBase,
               const Change& aChange,
               Writer aWriter,
               std::vector<base::Error>& aErrors)
{
  const Resource& proposed = aChange.resource;
  if (proposed.kind == "Rollout" && aWriter != Writer::Planner) {
    aErrors.push_back(error(ErrorKind::Invalid,
                            label(proposed),
                            "Rollout resources are written by the planner only",
                            "change the Serving resource instead"));
  }
  const auto* stored = aBase.spec<ModelVersion>(proposed.kind, proposed.name);
  const auto* replacement = std::get_if<ModelVersion>(&proposed.spec);
  if (aChange.type == ChangeType::Replace && stored != nullptr && replacement != nullptr &&
      !isSameModel(*stored, *replacement)) {
    aErrors.push_back(error(ErrorKind::Invalid,
                            label(proposed) + " spec",
                            "a ModelVersion never changes",
                            "create a ModelVersion with a new version"));
  }
}

void checkRepeats(const std::vector<Change>& aChanges, std::vector<base::Error>& aErrors)
{
  std::set<Key> seen;
  for (const Change& change : aChanges) {
    if (!seen.insert({ change.resource.kind, change.resource.name }).second) {
      aErrors.push_back(error(ErrorKind::Invalid,
                              label(change.resource),
                              "occurs twice in one batch",
                              "give each resource once"));
    }
  }
}

base::Error toError(const Fault& aFault, const std::map<Key, std::string>& aRemoved)
{
  auto removed = aRemoved.find(aFault.missing);
  if (removed != aRemoved.end()) {
    return error(ErrorKind::Invalid,
                 removed->second,
                 "is still used by " + aFault.subject + " (" + aFault.field + ")",
                 "change or delete " + aFault.subject + " first, or in the same batch");
  }
  return error(
    ErrorKind::Invalid, aFault.subject + " " + aFault.field, aFault.message, aFault.remedy);
}

} // namespace

std::vector<base::Error> validate(const Snapshot& aBase,
                                  const std::vector<Change>& aChanges,
                                  Writer aWriter)
{
  std::vector<base::Error> errors;
  checkRepeats(aChanges, errors);
  for (const Change& change : aChanges) {
    checkVersion(aBase, change, errors);
    checkKind(aBase, change, aWriter, errors);
  }
  if (!errors.empty()) {
    return errors;
  }
  Snapshot changedSnapshot = applyChanges(aBase, aChanges, aBase.revision() + 1);
  std::set<Fault> existingFaults = FaultFinder(aBase).find();
  auto removed = removedKeys(aBase, aChanges);
  for (const Fault& fault : FaultFinder(changedSnapshot).find()) {
    if (!existingFaults.contains(fault)) {
      errors.push_back(toError(fault, removed));
    }
  }
  return errors;
}

const Resource* findModelVersion(const Snapshot& aSnapshot,
                                 std::string_view aModel,
                                 std::string_view aVersion)
{
  const Resource* found = nullptr;
  aSnapshot.each<ModelVersion>([&](const Resource& aResource, const ModelVersion& aSpec) {
    if (found == nullptr && aSpec.model == aModel && aSpec.version == aVersion) {
      found = &aResource;
    }
  });
  return found;
}

bool covers(const Snapshot& aSnapshot,
            const Serving& aServing,
            std::string_view aEndpointName,
            const Endpoint& aEndpoint)
{
  if (aEndpoint.type != EndpointType::Model) {
    return false;
  }
  bool hasMatchingName =
    aServing.endpoints.empty() ||
    std::any_of(aServing.endpoints.begin(),
                aServing.endpoints.end(),
                [&](const std::string& aPrefix) { return aEndpointName.starts_with(aPrefix); });
  if (!hasMatchingName || aServing.zones.empty()) {
    return hasMatchingName;
  }
  const Vm* vm = aSnapshot.spec<Vm>("Vm", aEndpoint.vm);
  return vm != nullptr &&
         std::find(aServing.zones.begin(), aServing.zones.end(), vm->zone) != aServing.zones.end();
}

bool isInService(const Snapshot& aSnapshot, const Endpoint& aEndpoint)
{
  const Vm* vm = aSnapshot.spec<Vm>("Vm", aEndpoint.vm);
  if (vm == nullptr || !vm->inService) {
    return false;
  }
  const Zone* zone = aSnapshot.spec<Zone>("Zone", vm->zone);
  return zone != nullptr && zone->inService;
}

} // namespace boragepitch::resources
