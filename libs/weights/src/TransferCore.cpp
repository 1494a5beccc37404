#include "TransferCore.h"

#include <algorithm>
#include <tuple>

#include "Selection.h"

namespace boragepitch::weights {

namespace {
/** Longest wait for the first answers of the region's peers before chunks are imported from outside
 * the region. */
constexpr base::Milliseconds kMaxPeerAnswerWait{ 1000 };
} // namespace

std::string_view toString(TransferState aState)
{
  switch (aState) {
    case TransferState::NeedsManifest:
      return "needsManifest";
    case TransferState::Preparing:
      return "preparing";
    case TransferState::Fetching:
      return "fetching";
    case TransferState::Verifying:
      return "verifying";
    case TransferState::Complete:
      return "whole";
    case TransferState::OriginChanged:
      return "originChanged";
    case TransferState::NoRoom:
      return "noRoom";
    case TransferState::Failed:
      break;
  }
  return "failed";
}

TransferCore::TransferCore(const DistributorOptions& aOptions, LocalVm aLocalVm)
  : mOptions(aOptions)
  , mLocalVm(std::move(aLocalVm))
  , mSelection(makeChunkSelection(aOptions.scheme))
  , mPeers(
      { aOptions.fetchesPerPeer, aOptions.avoidTime, aOptions.backoffBase, aOptions.backoffCap })
  , mOrigin({ aOptions.originConnections, aOptions.backoffBase, aOptions.backoffCap })
{
  mLocalVm.neighbours = aOptions.neighbours;
  mLocalVm.importersPerRegion = aOptions.importersPerRegion;
  mLocalVm.remoteNeighbours = aOptions.remoteNeighbours;
  mLocalVm.importerTimeout = aOptions.importerTimeout;
}

std::vector<ManifestId> TransferCore::setWanted(std::vector<TransferRequest> aWanted,
                                                base::TimePoint aNow,
                                                base::Rng& aRng)
{
  if (!mOriginContacted && !aWanted.empty()) {
    mOriginContacted = true;
    auto jitter = mOptions.startJitter.count();
    mOrigin.holdUntil(aNow + base::Milliseconds(base::uniformBelow(aRng, jitter + 1)));
  }
  for (auto& [id, task] : mTasks) {
    task.isWanted = false;
  }
  for (TransferRequest& wanted : aWanted) {
    auto [found, isNew] = mTasks.try_emplace(wanted.manifest);
    Task& task = found->second;
    task.isWanted = true;
    if (isNew) {
      task.generation = ++mGenerations;
      task.created = aNow;
    }
    task.wanted = std::move(wanted);
  }
  std::vector<ManifestId> released;
  std::erase_if(mTasks, [&](const auto& aEntry) {
    bool drop = !aEntry.second.isWanted && aEntry.second.state != TransferState::Complete;
    if (drop) {
      released.push_back(aEntry.first);
    }
    return drop;
  });
  return released;
}

std::optional<ManifestId> TransferCore::evictUnwanted()
{
  const Task* oldest = nullptr;
  for (const auto& [id, task] : mTasks) {
    if (!task.isWanted && (oldest == nullptr || task.created < oldest->created)) {
      oldest = &task;
    }
  }
  if (oldest == nullptr) {
    return std::nullopt;
  }
  ManifestId id = oldest->wanted.manifest;
  mTasks.erase(id);
  return id;
}

void TransferCore::invalidateHost(base::TimePoint aNow)
{
  std::erase_if(mTasks, [](const auto& aEntry) { return !aEntry.second.isWanted; });
  for (auto& [id, task] : mTasks) {
    task.generation = ++mGenerations;
    task.state = task.manifest ? TransferState::Preparing : TransferState::NeedsManifest;
    task.own = Bitmap(task.own.size());
    task.inFlight = Bitmap(task.own.size());
    task.retryAt = aNow;
    ++task.version;
    // The bitmaps of peers date from the end of the last fetch. Without a bitmap a peer is polled
    // at once, and nothing is imported before it answers.
    task.answered.clear();
    for (PeerView& view : task.peers) {
      view.have = Bitmap();
    }
  }
}

void TransferCore::setManifest(const ManifestId& aId, std::shared_ptr<const Manifest> aManifest)
{
  Task* task = findMutable(aId);
  if (task == nullptr || task->manifest) {
    return;
  }
  task->own = Bitmap(aManifest->chunkCount());
  task->inFlight = Bitmap(aManifest->chunkCount());
  task->manifest = std::move(aManifest);
  task->state = TransferState::Preparing;
  task->prepareBackoff.reset();
  task->error.reset();
}

void TransferCore::beginFetching(const ManifestId& aId,
                                 uint64_t aGeneration,
                                 Bitmap aOwn,
                                 base::TimePoint aNow)
{
  Task* task = current(aId, aGeneration);
  if (task == nullptr) {
    return;
  }
  task->own = std::move(aOwn);
  ++task->version;
  task->state = task->own.all() ? TransferState::Verifying : TransferState::Fetching;
  task->started = aNow;
  task->lastProgress = aNow;
  task->error.reset();
}

void TransferCore::prepareFailed(const ManifestId& aId,
                                 uint64_t aGeneration,
                                 TransferState aState,
                                 base::Error aError,
                                 base::TimePoint aNow,
                                 base::Rng& aRng)
{
  Task* task = current(aId, aGeneration);
  if (task == nullptr) {
    return;
  }
  task->state = aState;
  task->error = std::move(aError);
  task->retryAt = aNow + task->prepareBackoff.next(aRng);
}

void TransferCore::setMembers(const ManifestId& aId, Members aMembers, base::TimePoint aNow)
{
  Task* task = findMutable(aId);
  if (task == nullptr || !task->manifest) {
    return;
  }
  task->members = std::move(aMembers);
  auto ids = mSelection->neighbours(localVmFor(*task), task->members, task->manifest->chunkCount());
  std::vector<PeerView> views;
  for (const auto& [region, members] : task->members) {
    for (const std::string& id : members) {
      if (!std::binary_search(ids.begin(), ids.end(), id)) {
        continue;
      }
      const PeerView* known = findPeer(task->peers, id);
      if (known != nullptr) {
        views.push_back(*known);
      } else {
        PeerView view;
        view.id = id;
        view.region = region;
        view.lastProgress = aNow;
        views.push_back(std::move(view));
      }
    }
  }
  task->peers = std::move(views);
  std::erase_if(task->answered,
                [&](const std::string& aPeer) { return findPeer(task->peers, aPeer) == nullptr; });
}

void TransferCore::noteBitmap(const ManifestId& aId,
                              const std::string& aPeer,
                              const Bitmap& aHave,
                              uint32_t aLoad,
                              bool aProgress,
                              base::TimePoint aNow)
{
  Task* task = findMutable(aId);
  mPeers.noteLoad(aPeer, aLoad);
  if (task == nullptr || aHave.size() != task->own.size()) {
    return;
  }
  for (PeerView& view : task->peers) {
    if (view.id == aPeer) {
      if (aProgress || view.have != aHave) {
        view.lastProgress = aNow;
      }
      view.have = aHave;
      task->answered.insert(aPeer);
    }
  }
}

void TransferCore::noteNoBitmap(const ManifestId& aId, const std::string& aPeer)
{
  Task* task = findMutable(aId);
  if (task == nullptr) {
    return;
  }
  for (PeerView& view : task->peers) {
    if (view.id == aPeer) {
      view.have = Bitmap();
      task->answered.insert(aPeer);
    }
  }
}

bool TransferCore::mayImport(const Task& aTask, base::TimePoint aNow) const
{
  if (aNow - aTask.started >= kMaxPeerAnswerWait) {
    return true;
  }
  return std::all_of(aTask.peers.begin(), aTask.peers.end(), [&](const PeerView& aPeer) {
    return aPeer.region != mLocalVm.region || aTask.answered.contains(aPeer.id);
  });
}

size_t TransferCore::crossRegionLimit() const
{
  // Chunks from other regions arrive slowly; half of the requests stay available for this VM's
  // region.
  return std::max<size_t>(1, mOptions.fetchThreads / 2);
}

void TransferCore::refreshViews(Task& aTask, base::TimePoint aNow)
{
  for (PeerView& view : aTask.peers) {
    view.trusted = mPeers.trusted(view.id, aNow);
    bool linkIsBusy = view.region != mLocalVm.region && mCrossRegionInFlight >= crossRegionLimit();
    view.usable = mPeers.usable(view.id, aNow) && !linkIsBusy;
    view.inFlight = mPeers.inFlight(view.id);
    view.load = mPeers.load(view.id);
  }
}

std::optional<Assignment> TransferCore::next(base::TimePoint aNow, base::Rng& aRng)
{
  for (const Task* candidate : ordered()) {
    Task& task = mTasks.at(candidate->wanted.manifest);
    if (!task.isFetching()) {
      continue;
    }
    refreshViews(task, aNow);
    LocalVm localVm = localVmFor(task);
    SelectionInput input{ .localVm = localVm,
                          .members = task.members,
                          .own = task.own,
                          .inFlight = task.inFlight,
                          .peers = task.peers,
                          .mayImport = mayImport(task, aNow),
                          .originUsable = !task.originFailed && mOrigin.usable(aNow),
                          .originBusy = mOrigin.isBusy(),
                          .originFailed = task.originFailed,
                          .started = task.started,
                          .lastProgress = task.lastProgress,
                          .now = aNow };
    auto choice = mSelection->next(input, aRng);
    if (!choice) {
      continue;
    }
    task.inFlight.set(choice->chunk);
    const PeerView* view = findPeer(task.peers, choice->peer);
    const std::string& source = view != nullptr ? view->region : mLocalVm.originRegion;
    bool crossRegion = source != mLocalVm.region;
    mCrossRegionInFlight += crossRegion ? 1 : 0;
    if (choice->peer.empty()) {
      mOrigin.begin();
    } else {
      mPeers.begin(choice->peer);
    }
    return Assignment{
      task.manifest, task.generation, task.wanted.originName,
      *choice,       crossRegion,     task.manifest->chunkCount() - task.own.count()
    };
  }
  return std::nullopt;
}

void TransferCore::finish(const Assignment& aAssignment,
                          FetchOutcome aOutcome,
                          base::Duration aRetryAfter,
                          uint64_t aBytes,
                          base::TimePoint aNow,
                          base::Rng& aRng)
{
  const Choice& choice = aAssignment.choice;
  mCrossRegionInFlight -= aAssignment.crossRegion ? 1 : 0;
  Task* task = current(aAssignment.manifest->id(), aAssignment.generation);
  if (task != nullptr) {
    task->inFlight.clear(choice.chunk);
    (choice.peer.empty() ? task->fromOrigin : task->fromPeers) += aBytes;
    task->fromOtherRegions += aAssignment.crossRegion ? aBytes : 0;
  }
  if (choice.peer.empty()) {
    finishOrigin(task, aOutcome, aNow, aRng);
  } else {
    finishPeer(task, choice, aOutcome, aRetryAfter, aNow, aRng);
  }
  if (task != nullptr && aOutcome == FetchOutcome::Stored) {
    store(*task, choice.chunk, aNow);
  }
}

void TransferCore::finishOrigin(Task* aTask,
                                FetchOutcome aOutcome,
                                base::TimePoint aNow,
                                base::Rng& aRng)
{
  if (aOutcome == FetchOutcome::Cancelled) {
    mOrigin.endWithoutResult();
  } else {
    mOrigin.end(aOutcome != FetchOutcome::Failed, aNow, aRng);
  }
  if (aTask == nullptr) {
    return;
  }
  if (aOutcome == FetchOutcome::Stored || aOutcome == FetchOutcome::HostFailed) {
    aTask->originMismatches = 0;
  }
  if (aOutcome == FetchOutcome::Corrupt && !aTask->originFailed &&
      ++aTask->originMismatches >= mOptions.maxOriginMismatches) {
    aTask->originFailed = true;
    aTask->state = TransferState::OriginChanged;
    aTask->error = base::Error{ base::ErrorKind::Corrupt,
                                aTask->wanted.originName,
                                "the origin's bytes differ from the manifest",
                                "declare a ModelVersion with a manifest of the new bytes" };
  }
}

void TransferCore::finishPeer(Task* aTask,
                              const Choice& aChoice,
                              FetchOutcome aOutcome,
                              base::Duration aRetryAfter,
                              base::TimePoint aNow,
                              base::Rng& aRng)
{
  mPeers.end(aChoice.peer);
  if (aOutcome == FetchOutcome::Stored || aOutcome == FetchOutcome::HostFailed) {
    mPeers.noteSuccess(aChoice.peer);
  } else if (aOutcome == FetchOutcome::Corrupt) {
    mPeers.noteCorrupt(aChoice.peer, aNow);
  } else if (aOutcome == FetchOutcome::Busy) {
    mPeers.noteBusy(aChoice.peer, aNow + aRetryAfter);
  } else if (aOutcome == FetchOutcome::Failed) {
    mPeers.noteFailure(aChoice.peer, aNow, aRng);
  }
  if (aTask == nullptr) {
    return;
  }
  for (PeerView& view : aTask->peers) {
    if (view.id != aChoice.peer) {
      continue;
    }
    if (aOutcome == FetchOutcome::Missing) {
      view.have.clear(aChoice.chunk);
    } else if (aOutcome == FetchOutcome::Failed) {
      // The chunks of a peer that does not answer are unavailable until its bitmap is received
      // again.
      view.have = Bitmap();
    }
  }
}

void TransferCore::store(Task& aTask, uint32_t aChunk, base::TimePoint aNow)
{
  if (aTask.own.set(aChunk)) {
    ++aTask.version;
    aTask.lastProgress = aNow;
  }
  if (aTask.own.all()) {
    aTask.state = TransferState::Verifying;
    aTask.error.reset();
  }
}

void TransferCore::chunkLost(const ManifestId& aId, uint64_t aGeneration, uint32_t aChunk)
{
  Task* task = current(aId, aGeneration);
  if (task == nullptr || !task->own.clear(aChunk)) {
    return;
  }
  ++task->version;
  task->state = task->originFailed ? TransferState::OriginChanged : TransferState::Fetching;
}

void TransferCore::noteComplete(const ManifestId& aId, uint64_t aGeneration)
{
  Task* task = current(aId, aGeneration);
  if (task != nullptr && task->state == TransferState::Verifying) {
    task->state = TransferState::Complete;
  }
}

void TransferCore::noteFailed(const ManifestId& aId, uint64_t aGeneration, base::Error aError)
{
  Task* task = current(aId, aGeneration);
  if (task != nullptr) {
    task->state = TransferState::Failed;
    task->error = std::move(aError);
  }
}

Task* TransferCore::findMutable(const ManifestId& aId)
{
  auto found = mTasks.find(aId);
  return found == mTasks.end() ? nullptr : &found->second;
}

const Task* TransferCore::find(const ManifestId& aId) const
{
  auto found = mTasks.find(aId);
  return found == mTasks.end() ? nullptr : &found->second;
}

Task* TransferCore::current(const ManifestId& aId, uint64_t aGeneration)
{
  return isCurrent(aId, aGeneration) ? findMutable(aId) : nullptr;
}

bool TransferCore::isCurrent(const ManifestId& aId, uint64_t aGeneration) const
{
  const Task* task = find(aId);
  return task != nullptr && task->generation == aGeneration;
}

std::vector<const Task*> TransferCore::ordered() const
{
  std::vector<const Task*> tasks;
  for (const auto& [id, task] : mTasks) {
    tasks.push_back(&task);
  }
  std::stable_sort(tasks.begin(), tasks.end(), [](const Task* aLeft, const Task* aRight) {
    return std::pair(-aLeft->wanted.urgency, aLeft->wanted.since) <
           std::pair(-aRight->wanted.urgency, aRight->wanted.since);
  });
  return tasks;
}

std::vector<std::string> TransferCore::held() const
{
  std::vector<std::string> ids;
  for (const auto& [id, task] : mTasks) {
    if (task.state == TransferState::Complete) {
      ids.push_back(id.toString());
    }
  }
  return ids;
}

std::vector<std::string> TransferCore::fetching() const
{
  std::vector<std::string> ids;
  for (const auto& [id, task] : mTasks) {
    if (task.state != TransferState::Complete) {
      ids.push_back(id.toString());
    }
  }
  return ids;
}

bool TransferCore::isFetching() const
{
  return std::any_of(
    mTasks.begin(), mTasks.end(), [](const auto& aEntry) { return aEntry.second.isFetching(); });
}

bool TransferCore::isFetching(const ManifestId& aId) const
{
  const Task* task = find(aId);
  return task != nullptr && task->isFetching();
}

std::set<std::string> TransferCore::polledPeers() const
{
  std::set<std::string> ids;
  for (const auto& [id, task] : mTasks) {
    if (task.isFetching()) {
      for (const PeerView& view : task.peers) {
        ids.insert(view.id);
      }
    }
  }
  return ids;
}

LocalVm TransferCore::localVmFor(const Task& aTask) const
{
  LocalVm localVm = mLocalVm;
  uint64_t seed = 0;
  for (size_t i = 0; i < sizeof(seed); ++i) {
    seed = seed << 8 | std::to_integer<uint64_t>(aTask.wanted.manifest.value[i]);
  }
  localVm.manifestSeed = seed;
  return localVm;
}

} // namespace boragepitch::weights
