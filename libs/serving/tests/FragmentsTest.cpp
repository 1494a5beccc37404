#define BOOST_TEST_MODULE serving_fragments
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "base/Rng.h"
#include "serving/Fragments.h"
#include "serving/PeerMessage.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kNow{ 1h };

std::optional<std::string> addAll(MessageAssembler& aAssembler,
                                  const std::vector<std::string>& aDatagrams,
                                  std::string_view aSender = "a")
{
  std::optional<std::string> message;
  for (const std::string& datagram : aDatagrams) {
    BOOST_TEST(datagram.size() <= kMaxDatagramBytes);
    if (auto whole = aAssembler.add(datagram, aSender, kNow)) {
      message = std::move(whole);
    }
  }
  return message;
}

} // namespace

// Guards against evidence that names the first parts of a prompt only (BUDGET).
BOOST_AUTO_TEST_CASE(evidenceNamesAllPartsOfAPrompt)
{
  for (size_t count : { 1U, 12U, 13U, 80U, 81U, 500U, 4096U }) {
    CrashEvidence evidence{ 7, "a/1", {} };
    for (size_t i = 0; i < count; ++i) {
      evidence.parts.push_back(UINT64_MAX - i);
    }
    MessageAssembler assembler;
    auto text = addAll(assembler, split(encode(evidence), 1));
    BOOST_REQUIRE(text.has_value());
    auto message = decode(*text);
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST((std::get<CrashEvidence>(*message).parts == evidence.parts));
    BOOST_TEST(assembler.bytes() == 0U);
  }
}

// Guards against a quarantine that is told without some of its parts and so matches more requests.
BOOST_AUTO_TEST_CASE(quarantinesAreToldWhole)
{
  PartNotice notice;
  for (uint64_t i = 0; i < 300; ++i) {
    notice.proved.push_back(i);
  }
  notice.quarantined.push_back({ notice.proved, 5ms, 6ms });
  MessageAssembler assembler;
  auto text = addAll(assembler, split(encode(notice), 1));
  BOOST_REQUIRE(text.has_value());
  auto message = decode(*text);
  BOOST_REQUIRE(message.has_value());
  BOOST_TEST((std::get<PartNotice>(*message).quarantined.front().parts == notice.proved));
}

// Guards against joining fragments of different messages or senders.
BOOST_AUTO_TEST_CASE(fragmentsArriveInAnyOrderAndAreNotMixed)
{
  std::string one(10000, 'a');
  std::string two(10000, 'b');
  base::Rng rng(1);
  for (int round = 0; round < 100; ++round) {
    MessageAssembler assembler;
    std::vector<std::pair<std::string, std::string>> sent;
    for (const auto& [sender, id, text] :
         { std::tuple("a", 1, one), std::tuple("a", 2, two), std::tuple("b", 1, two) }) {
      for (const std::string& datagram : split(text, static_cast<uint64_t>(id))) {
        sent.emplace_back(sender, datagram);
        sent.emplace_back(sender, datagram); // A copy.
      }
    }
    std::shuffle(sent.begin(), sent.end(), rng);
    std::multiset<std::string> received;
    for (const auto& [sender, datagram] : sent) {
      if (auto message = assembler.add(datagram, sender, kNow)) {
        received.insert(*message);
      }
    }
    BOOST_TEST(received.count(one) >= 1U);
    BOOST_TEST(received.count(two) >= 2U);
    BOOST_TEST(received.size() == received.count(one) + received.count(two));
  }
}

// Guards against memory that grows with incomplete messages, and against odd fragments.
BOOST_AUTO_TEST_CASE(incompleteMessagesAreBounded)
{
  MessageAssembler assembler({ .bytes = 50000 });
  for (uint64_t id = 0; id < 1000; ++id) {
    auto datagrams = split(std::string(20000, 'x'), id);
    datagrams.pop_back();
    addAll(assembler, datagrams);
    BOOST_TEST(assembler.bytes() <= 50000U);
  }
  BOOST_TEST(!assembler.add("#1 0 2\nx", "c", kNow + 1min).has_value());
  BOOST_TEST(assembler.bytes() < 1000U);
  for (const char* odd : { "#",
                           "#1",
                           "#1 2 2\nx",
                           "#1 0 0\nx",
                           "#1 0 99999999999\nx",
                           "#x 0 2\nx",
                           "#1 0 2\n",
                           "#1 0 2 3\nx",
                           "#-1 0 2\nx" }) {
    BOOST_TEST(!assembler.add(odd, "d", kNow + 1min).has_value());
  }
  BOOST_TEST(split(std::string(kMaxMessageBytes + 1, 'x'), 1).empty());
  BOOST_TEST(assembler.add("{}", "d", kNow).value_or("") == "{}");
}
