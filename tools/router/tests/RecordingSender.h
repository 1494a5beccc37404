#pragma once

#include <map>
#include <string>
#include <vector>

#include "LoaderNotifier.h"

namespace boragepitch::test {

/** Records the datagrams sent to each loader. */
class RecordingSender final : public tools::NoticeSender
{
public:
  void send(std::string_view aText, const net::Address& aLoader) override
  {
    sent[aLoader.toString()].emplace_back(aText);
  }

  std::map<std::string, std::vector<std::string>> sent;
};

} // namespace boragepitch::test
