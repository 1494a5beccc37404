#define BOOST_TEST_MODULE weights_staged_host
#include <boost/test/unit_test.hpp>

#include <map>

#include "weights/StagedWeightHost.h"

using namespace boragepitch;
using namespace boragepitch::weights;

namespace {

constexpr uint32_t kChunkBytes = 4;

struct FakeStaging final : ChunkStaging
{
  base::Status putChunk(const std::string&,
                        uint32_t aChunk,
                        std::span<const std::byte> aBytes) override
  {
    chunks[aChunk] = base::asText(aBytes);
    return {};
  }
  base::Result<std::string> chunk(const std::string&, uint32_t aChunk, size_t) override
  {
    ++reads;
    auto found = chunks.find(aChunk);
    if (found == chunks.end()) {
      return base::fail(base::ErrorKind::NotFound, "", "absent", "");
    }
    return found->second;
  }
  std::map<uint32_t, std::string> chunks;
  int reads = 0;
};

Manifest manifestOf(const std::string& aVersion, const std::string& aBytes)
{
  std::vector<base::Digest> digests;
  for (size_t at = 0; at < aBytes.size(); at += kChunkBytes) {
    digests.push_back(base::sha256(base::asBytes(aBytes).subspan(at, kChunkBytes)));
  }
  return *Manifest::fromDigests("m", aVersion, kChunkBytes, digests);
}

void fill(StagedWeightHost& aHost, const Manifest& aManifest, const std::string& aBytes)
{
  BOOST_REQUIRE(aHost.allocate(aManifest).has_value());
  for (uint32_t chunk = 0; chunk < aManifest.chunkCount(); ++chunk) {
    auto part = base::asBytes(aBytes).subspan(chunk * kChunkBytes, kChunkBytes);
    BOOST_REQUIRE(aHost.write(aManifest.id(), chunk, part).has_value());
  }
}

std::string staged(const FakeStaging& aStaging)
{
  std::string text;
  for (const auto& [chunk, bytes] : aStaging.chunks) {
    text += bytes;
  }
  return text;
}

} // namespace

// Guards against a transfer that overwrites the staged version, which an engine that restarts
// meanwhile must load.
BOOST_AUTO_TEST_CASE(transferKeepsTheStagedVersion)
{
  FakeStaging staging;
  base::SteadyClock clock;
  StagedWeightHost host(staging, clock);
  auto one = manifestOf("1", "aaaabbbb");
  auto two = manifestOf("2", "ccccdddd");
  fill(host, one, "aaaabbbb");
  BOOST_REQUIRE(host.commit(one).has_value());
  fill(host, two, "ccccdddd");
  BOOST_TEST(staged(staging) == "aaaabbbb");
  BOOST_REQUIRE(host.commit(two).has_value());
  BOOST_TEST(staged(staging) == "ccccdddd");
}

// Guards against loading chunks that were corrupted in the staging area: commit() replaces or
// rejects them.
BOOST_AUTO_TEST_CASE(commitRepairsOrRejectsCorruptChunks)
{
  FakeStaging staging;
  base::SteadyClock clock;
  auto one = manifestOf("1", "aaaabbbb");
  {
    StagedWeightHost host(staging, clock);
    fill(host, one, "aaaabbbb");
    BOOST_REQUIRE(host.commit(one).has_value());
    staging.chunks[1] = "bbxb";
    BOOST_REQUIRE(host.commit(one).has_value());
    BOOST_TEST(staged(staging) == "aaaabbbb");
  }
  // A restarted process has no chunks in memory: the staged chunks are used once verified.
  StagedWeightHost host(staging, clock);
  BOOST_REQUIRE(host.allocate(one).has_value());
  BOOST_TEST(host.commit(one).has_value());
  staging.chunks[1] = "bbxb";
  auto rejected = host.commit(one);
  BOOST_REQUIRE(!rejected.has_value());
  BOOST_TEST((rejected.error().kind == base::ErrorKind::Corrupt));
}

// Guards against reading the staged chunks of another version, two megabytes, for each new version.
BOOST_AUTO_TEST_CASE(newVersionsAreNotReadFromTheStagingArea)
{
  FakeStaging staging;
  base::SteadyClock clock;
  StagedWeightHost host(staging, clock);
  auto two = manifestOf("2", "ccccdddd");
  host.noteNotStaged(two.id());
  BOOST_TEST(!host.mayHold(two.id()));
  fill(host, two, "ccccdddd");
  BOOST_TEST(host.mayHold(two.id()));
  std::vector<std::byte> target(kChunkBytes);
  BOOST_TEST(*host.read(two.id(), 0, target) == kChunkBytes);
  BOOST_TEST(staging.reads == 0);
  BOOST_TEST(host.memoryBytes() == 8U);
  BOOST_REQUIRE(host.release(two.id()).has_value());
  BOOST_TEST(host.memoryBytes() == 0U);
  BOOST_TEST(!host.read(two.id(), 0, target).has_value());
}

// Guards against a manifest without a content digest whose id changes when it is encoded and
// parsed.
BOOST_AUTO_TEST_CASE(manifestOfDigestsRoundTrips)
{
  auto one = manifestOf("1", "aaaabbbb");
  BOOST_TEST(!one.contentDigest().has_value());
  auto again = Manifest::parseExpecting(one.id(), one.canonical());
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(!again->contentDigest().has_value());
  BOOST_TEST(again->verifies(1, base::asBytes("bbbb")));
}
