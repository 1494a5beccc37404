#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include "control/FleetView.h"
#include "resources/ResourceStore.h"

namespace boragepitch::test {

/** In-memory resource store whose changes show in its fleet view at once. Thread-safe. */
class MemoryStore final
  : public resources::ResourceStore
  , public control::FleetView
{
public:
  base::Result<std::shared_ptr<const resources::Snapshot>> latest() override
  {
    std::lock_guard lock(mMutex);
    if (outage) {
      return base::fail(base::ErrorKind::Unavailable, "store", "is down", "come back later");
    }
    return mSnapshot;
  }

  base::Result<uint64_t> batch(const std::vector<resources::Change>& aChanges,
                               uint64_t aBaseRevision) override
  {
    std::lock_guard lock(mMutex);
    ++attempts;
    if (loseRaces > 0) {
      --loseRaces;
      put({});
    }
    if (aBaseRevision != mSnapshot->revision()) {
      return base::fail(base::ErrorKind::Conflict, "revision", "has moved", "validate again");
    }
    put(aChanges);
    if (loseAnswer) {
      return base::fail(
        base::ErrorKind::UnknownOutcome, "store", "answer lost", "read before repeating");
    }
    return mSnapshot->revision();
  }

  /** Applies changes as one revision, without checking the base revision. */
  void apply(const std::vector<resources::Change>& aChanges)
  {
    std::lock_guard lock(mMutex);
    put(aChanges);
  }

  std::shared_ptr<const resources::Snapshot> config() const override
  {
    std::lock_guard lock(mMutex);
    return mSnapshot;
  }

  std::shared_ptr<const control::NodeTable> nodes() const override
  {
    std::lock_guard lock(mMutex);
    return mNodes;
  }

  void setNodes(control::NodeTable aNodes)
  {
    std::lock_guard lock(mMutex);
    mNodes = std::make_shared<control::NodeTable>(std::move(aNodes));
  }

  bool mayStartNewWork(base::TimePoint) const override { return true; }
  void publish(control::NodeState) override {}

  std::atomic<bool> outage{ false };
  std::atomic<bool> loseAnswer{ false };
  std::atomic<int> loseRaces{ 0 };
  std::atomic<int> attempts{ 0 };

private:
  void put(const std::vector<resources::Change>& aChanges)
  {
    mSnapshot = std::make_shared<resources::Snapshot>(
      resources::applyChanges(*mSnapshot, aChanges, mSnapshot->revision() + 1));
  }

  mutable std::mutex mMutex;
  std::shared_ptr<const resources::Snapshot> mSnapshot = std::make_shared<resources::Snapshot>();
  std::shared_ptr<const control::NodeTable> mNodes = std::make_shared<control::NodeTable>();
};

} // namespace boragepitch::test
