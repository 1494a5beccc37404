#define BOOST_TEST_MODULE loader_load_order
#include <boost/test/unit_test.hpp>

#include <map>
#include <mutex>
#include <thread>

#include "LoadOrder.h"

using namespace boragepitch;
using namespace boragepitch::tools;
using namespace std::chrono_literals;

namespace {

/** For this long a chunk may have been corrupt when it is loaded. */
constexpr base::Milliseconds kTolerated = 3000ms;
constexpr uint32_t kChunks = 64;
constexpr uint32_t kChunkBytes = 32;

/** Steady clock that a test moves ahead, as after a suspension of the VM. */
class JumpingClock final : public base::Clock
{
public:
  base::TimePoint now() const override { return std::chrono::steady_clock::now() + mAhead.load(); }
  void jump(base::Duration aBy) { mAhead = mAhead.load() + aBy; }

private:
  std::atomic<base::Duration> mAhead{ base::Duration(0) };
};

std::string content(uint64_t aVersion, uint32_t aChunk)
{
  std::string text = "version " + std::to_string(aVersion) + " chunk " + std::to_string(aChunk);
  text.resize(kChunkBytes, '.');
  return text;
}

/** Engine whose staged chunks become corrupt at times that the test sets. */
class FakeEngine final
  : public weights::ChunkStaging
  , public platform::EngineControl
{
public:
  explicit FakeEngine(JumpingClock& aClock)
    : mClock(aClock)
  {
  }

  base::Status putChunk(const std::string&,
                        uint32_t aChunk,
                        std::span<const std::byte> aBytes) override
  {
    std::this_thread::sleep_for(callTime);
    std::lock_guard lock(mMutex);
    mChunks[aChunk] = base::asText(aBytes);
    mCorruptSince.erase(aChunk);
    return {};
  }

  base::Result<std::string> chunk(const std::string&, uint32_t aChunk, size_t) override
  {
    std::this_thread::sleep_for(callTime);
    std::lock_guard lock(mMutex);
    ++reads;
    return mChunks[aChunk];
  }

  base::Result<platform::EngineReport> report() override { return platform::EngineReport{}; }

  base::Result<platform::OrderAnswer> orderLoad(const std::string&,
                                                uint64_t aVersion,
                                                uint64_t,
                                                platform::RunningRequests) override
  {
    ++orders;
    if (beforeOrder) {
      beforeOrder();
    }
    if (refuses) {
      return platform::OrderAnswer::Refused;
    }
    if (version == aVersion) {
      return platform::OrderAnswer::AlreadyDone;
    }
    version = aVersion;
    tookOutdatedChunk = false;
    for (const auto& [chunk, since] : mCorruptSince) {
      tookOutdatedChunk = tookOutdatedChunk || mClock.now() - since > kTolerated;
    }
    if (losesAnswers) {
      return base::fail(base::ErrorKind::UnknownOutcome, "order", "no answer", "");
    }
    return platform::OrderAnswer::Begun;
  }

  void corrupt(uint32_t aChunk)
  {
    std::lock_guard lock(mMutex);
    mChunks[aChunk].front() = '?';
    mCorruptSince[aChunk] = mClock.now();
  }

  rollout::EngineWeights weights() const { return { 1, version, false }; }

  base::Milliseconds callTime{ 0 };
  std::function<void()> beforeOrder;
  bool losesAnswers = false;
  bool refuses = false;
  uint64_t version = 1;
  bool tookOutdatedChunk = false;
  int orders = 0;
  int reads = 0;

private:
  JumpingClock& mClock;
  std::mutex mMutex;
  std::map<uint32_t, std::string> mChunks;
  std::map<uint32_t, base::TimePoint> mCorruptSince;
};

struct Fixture
{
  Fixture() { engineReport.load.startTimeMs = 1; }

  std::shared_ptr<const weights::Manifest> fill(uint64_t aVersion)
  {
    std::vector<base::Digest> digests;
    for (uint32_t chunk = 0; chunk < kChunks; ++chunk) {
      digests.push_back(base::sha256(base::asBytes(content(aVersion, chunk))));
    }
    auto manifest = std::make_shared<const weights::Manifest>(
      *weights::Manifest::fromDigests("m", std::to_string(aVersion), kChunkBytes, digests));
    BOOST_REQUIRE(staging.allocate(*manifest).has_value());
    for (uint32_t chunk = 0; chunk < kChunks; ++chunk) {
      auto bytes = content(aVersion, chunk);
      BOOST_REQUIRE(staging.write(manifest->id(), chunk, base::asBytes(bytes)).has_value());
    }
    return manifest;
  }

  /** Sends an order unless the checks before it fail. Returns false if they do. */
  bool order()
  {
    if (!loadOrder.renewChecks()) {
      return false;
    }
    static_cast<void>(loadOrder.send(engineReport, platform::RunningRequests::Stop));
    return true;
  }

  JumpingClock clock;
  FakeEngine engine{ clock };
  weights::StagedWeightHost staging{ engine, clock };
  LoadOrder loadOrder{ engine, staging, clock };
  platform::EngineReport engineReport;
};

} // namespace

// Guards against loading a chunk that became corrupt while the VM was suspended between the check
// and the order, for suspensions of any length.
BOOST_FIXTURE_TEST_CASE(chunkThatTurnsCorruptDuringASuspensionIsNotLoaded, Fixture)
{
  auto manifest = fill(2);
  for (base::Milliseconds suspended : { 0ms, 1400ms, 1600ms, 2900ms, 3100ms, 3400ms, 60000ms }) {
    engine.version = 1;
    BOOST_REQUIRE(loadOrder.stage(manifest, 2).has_value());
    engine.corrupt(5);
    clock.jump(suspended);
    bool sent = order();
    BOOST_TEST_INFO("suspended for " << suspended.count() << " ms");
    BOOST_TEST(!engine.tookOutdatedChunk);
    BOOST_TEST(sent == (suspended < 1500ms));
  }
}

// Guards against more calls to the engine when nothing was slow.
BOOST_FIXTURE_TEST_CASE(freshChecksAreNotRepeated, Fixture)
{
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  BOOST_TEST(order());
  BOOST_TEST(engine.reads == 0);
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Proven));
  BOOST_TEST(engine.reads == 0);
}

// Guards against a check of the first chunk that is as old as the writing of all others.
BOOST_FIXTURE_TEST_CASE(slowStagingDoesNotAgeTheFirstChecks, Fixture)
{
  engine.callTime = 65ms;
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  engine.corrupt(0);
  clock.jump(1300ms);
  BOOST_TEST(!order());
  BOOST_TEST(engine.orders == 0);
}

// Guards against a VM that is so slow that one pass over all chunks outlasts the age of a check.
BOOST_FIXTURE_TEST_CASE(slowStagingUsesMoreThreads, Fixture)
{
  engine.callTime = 65ms;
  auto began = std::chrono::steady_clock::now();
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  auto took = std::chrono::steady_clock::now() - began;
  BOOST_TEST((took < kChunks * 65ms / 2));
  BOOST_TEST(order());
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Proven));
}

// Guards against trusting the check when the VM is suspended after the last look at the clock.
BOOST_FIXTURE_TEST_CASE(loadWithALateAnswerIsCheckedAfterwards, Fixture)
{
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  engine.beforeOrder = [this] {
    engine.corrupt(5);
    clock.jump(3400ms);
  };
  BOOST_TEST(order());
  BOOST_TEST(engine.tookOutdatedChunk);
  BOOST_TEST((loadOrder.prove({ 1, 1, true }) == LoadProof::Pending));
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Rejected));
  BOOST_TEST(loadOrder.isRejected());
  // Staging the chunks again does not mend what the engine has loaded.
  engine.beforeOrder = nullptr;
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  BOOST_TEST(order());
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Rejected));
  // A newer version replaces it, and so does a restart.
  BOOST_REQUIRE(loadOrder.stage(fill(3), 3).has_value());
  BOOST_TEST(order());
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Proven));
}

// Guards against an order without an answer that counts as not accepted.
BOOST_FIXTURE_TEST_CASE(loadWithoutAnAnswerIsCheckedAfterwards, Fixture)
{
  engine.losesAnswers = true;
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  BOOST_TEST(order());
  BOOST_TEST((loadOrder.prove({ 1, 1, false }) == LoadProof::Pending));
  BOOST_TEST(!loadOrder.isLost({ 1, 1, false }, clock.now()));
  BOOST_TEST(loadOrder.isLost({ 1, 1, false }, clock.now() + 4s));
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Proven));
  BOOST_TEST(engine.reads == static_cast<int>(kChunks));
}

// Guards against an order that counts as lost, takes effect all the same, and is not checked any
// more because the order after it was refused.
BOOST_FIXTURE_TEST_CASE(anOrderThatTakesEffectLateIsStillChecked, Fixture)
{
  engine.losesAnswers = true;
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  BOOST_TEST(order());
  BOOST_TEST(loadOrder.isLost({ 1, 1, false }, clock.now() + 4s));
  engine.refuses = true;
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  BOOST_TEST(order());
  BOOST_TEST(loadOrder.isUnproven());
  engine.corrupt(9);
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Rejected));
}

// Guards against keeping a restarted engine out of service for the weights that it has lost.
BOOST_FIXTURE_TEST_CASE(restartEndsTheDoubt, Fixture)
{
  engine.losesAnswers = true;
  BOOST_REQUIRE(loadOrder.stage(fill(2), 2).has_value());
  BOOST_TEST(order());
  engine.corrupt(7);
  BOOST_TEST((loadOrder.prove(engine.weights()) == LoadProof::Rejected));
  BOOST_TEST((loadOrder.prove({ 2, 0, false }) == LoadProof::Proven));
  BOOST_TEST(!loadOrder.isRejected());
}
