#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Error.h"

namespace boragepitch::resources {

/** Reads the fields of one JSON object and collects every error with its path. */
class FieldReader
{
public:
  enum class Need
  {
    Required,
    Optional,
  };

  /** aValue and aErrors must outlive the reader. A value that is not an object is reported as one
   * error. */
  FieldReader(const Json::Value& aValue, std::string aPath, std::vector<base::Error>& aErrors);

  using Check = std::function<bool(std::string_view)>;
  void text(const char* aKey,
            std::string& aTarget,
            Need aNeed,
            const Check& aCheck,
            const char* aRemedy);
  void integer(const char* aKey, int& aTarget, Need aNeed, int aMin, int aMax);
  void count(const char* aKey, uint64_t& aTarget, Need aNeed, uint64_t aMin);
  void flag(const char* aKey, bool& aTarget, Need aNeed);
  void texts(const char* aKey,
             std::vector<std::string>& aTarget,
             size_t aMaxLength,
             const Check& aCheck,
             const char* aRemedy);
  /** Calls aRead with each element of a list and its path. */
  void list(const char* aKey,
            Need aNeed,
            size_t aMaxLength,
            const std::function<void(const Json::Value&, const std::string&)>& aRead);
  /** A reader of a list element that adds to the same errors. */
  FieldReader nested(const Json::Value& aValue, std::string aPath);
  /** Returns the member and marks it as known; null when absent. */
  const Json::Value* member(const char* aKey, Need aNeed);
  /** Reports unknown members: those that were never read. */
  void finish();

  std::string pathOf(const std::string& aKey) const;
  void report(std::string aField, std::string aMessage, std::string aRemedy);

private:
  const Json::Value& mValue;
  std::string mPath;
  std::vector<base::Error>& mErrors;
  std::set<std::string> mKnown;
  bool mIsObject;
};

} // namespace boragepitch::resources
