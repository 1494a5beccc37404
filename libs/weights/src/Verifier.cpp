#include "Verifier.h"

#include "telemetry/Log.h"

namespace boragepitch::weights {

namespace {
constexpr base::Milliseconds kIdleWait{ 100 };
} // namespace

Verifier::Verifier(Context& aContext)
  : mContext(aContext)
{
}

void Verifier::run()
{
  while (!mContext.stopping) {
    auto step = nextStep();
    if (!step || !advance(*step, mCursors.at(step->manifest->id()))) {
      mContext.idle(kIdleWait);
    }
  }
}

std::optional<Verifier::Step> Verifier::nextStep()
{
  std::lock_guard lock(mContext.mutex);
  std::erase_if(mCursors, [this](const auto& aEntry) {
    const Task* task = mContext.core.find(aEntry.first);
    return task == nullptr || task->state == TransferState::Complete ||
           task->generation != aEntry.second.generation;
  });
  for (const Task* task : mContext.core.ordered()) {
    bool active = task->state == TransferState::Fetching ||
                  task->state == TransferState::Verifying ||
                  task->state == TransferState::OriginChanged;
    if (!active) {
      continue;
    }
    Cursor& cursor = mCursors[task->manifest->id()];
    cursor.generation = task->generation;
    bool readable = task->manifest->contentDigest() && task->own.test(cursor.next);
    if (readable || task->state == TransferState::Verifying) {
      return Step{ task->manifest, task->generation };
    }
  }
  return std::nullopt;
}

bool Verifier::advance(const Step& aStep, Cursor& aCursor)
{
  // Without a digest of the full content there is nothing to compute: each chunk is already
  // verified.
  bool computed = aCursor.next == aStep.manifest->chunkCount();
  if (computed || !aStep.manifest->contentDigest()) {
    conclude(aStep, aCursor);
    return true;
  }
  auto block = readVerified(mContext, *aStep.manifest, aCursor.next);
  if (block) {
    aCursor.contentHash.update((*block)->bytes());
    ++aCursor.next;
    return true;
  }
  auto kind = block.error().kind;
  if (kind == base::ErrorKind::Corrupt || kind == base::ErrorKind::NotFound) {
    std::lock_guard lock(mContext.mutex);
    mContext.core.chunkLost(aStep.manifest->id(), aStep.generation, aCursor.next);
    mContext.notifyAll();
  }
  return false;
}

void Verifier::conclude(const Step& aStep, Cursor& aCursor)
{
  const Manifest& manifest = *aStep.manifest;
  base::Digest digest = aCursor.contentHash.finish();
  bool matches = !manifest.contentDigest() || digest == *manifest.contentDigest();
  std::lock_guard lock(mContext.mutex);
  mCursors.erase(manifest.id());
  if (!matches) {
    mContext.core.noteFailed(manifest.id(),
                             aStep.generation,
                             { base::ErrorKind::Corrupt,
                               manifest.id().toString(),
                               "the digest of the full content differs although all chunks match",
                               "make the manifest again and declare a new ModelVersion" });
    return;
  }
  mContext.core.noteComplete(manifest.id(), aStep.generation);
  mContext.notifyAll();
  telemetry::logEvent(
    telemetry::Level::Info, "manifestWhole", { { "manifest", manifest.id().toString() } });
}

} // namespace boragepitch::weights
