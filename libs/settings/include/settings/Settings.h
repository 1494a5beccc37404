#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "net/Address.h"

namespace boragepitch::settings {

enum class KeyType
{
  Text,
  Choice,
  Integer,
  Number,
  Flag,
  Duration,
  Address,
  Addresses,
};

/** Declaration of one key. */
struct Key
{
  std::string name;
  KeyType type = KeyType::Text;
  std::string help;
  std::string unit;
  std::vector<std::string> choices;
  double min = 0;
  double max = 0;
  bool required = false;
  std::string defaultValue;
};

/** The validated values of one INI file. Look-ups of keys that the schema does not declare throw
 * std::logic_error. */
class Settings
{
public:
  const std::string& text(const std::string& aKey) const;
  int64_t integer(const std::string& aKey) const;
  double number(const std::string& aKey) const;
  bool flag(const std::string& aKey) const;
  /** Value of a key that is declared as a duration. */
  base::Milliseconds duration(const std::string& aKey) const;
  net::Address address(const std::string& aKey) const;
  /** Comma-separated parts, trimmed; empty when the value is empty. */
  std::vector<std::string> list(const std::string& aKey) const;
  std::vector<net::Address> addresses(const std::string& aKey) const;
  /** All values of a free-form section by key (the section "keys" maps ids to secrets). */
  std::map<std::string, std::string> section(const std::string& aSection) const;

private:
  friend class Schema;
  std::map<std::string, std::string> mValues;
  std::map<std::string, std::map<std::string, std::string>> mSections;
};

/** Declares the keys that a program's INI file may contain, named "section.name". */
class Schema
{
public:
  class Builder
  {
  public:
    /** aDefault: text used when the key is absent. Without a default the key is required. */
    Builder& text(std::string aKey, std::string aHelp);
    Builder& text(std::string aKey, std::string aHelp, std::string aDefault);
    Builder& choice(std::string aKey,
                    std::string aHelp,
                    std::vector<std::string> aChoices,
                    std::string aDefault);
    Builder& integer(std::string aKey,
                     std::string aHelp,
                     std::string aUnit,
                     int64_t aMin,
                     int64_t aMax,
                     int64_t aDefault);
    Builder& number(std::string aKey,
                    std::string aHelp,
                    std::string aUnit,
                    double aMin,
                    double aMax,
                    double aDefault);
    Builder& flag(std::string aKey, std::string aHelp, bool aDefault);
    /** Whole milliseconds. */
    Builder& duration(std::string aKey,
                      std::string aHelp,
                      int64_t aMinMs,
                      int64_t aMaxMs,
                      int64_t aDefaultMs);
    Builder& address(std::string aKey, std::string aHelp);
    Builder& address(std::string aKey, std::string aHelp, std::string aDefault);
    /** Comma-separated addresses; may be empty. */
    Builder& addresses(std::string aKey, std::string aHelp);
    /** A section that accepts any key; each value has at least aMinLength characters. */
    Builder& freeSection(std::string aSection, std::string aHelp, size_t aMinLength);
    Schema build();

  private:
    friend class Schema;
    std::vector<Key> mKeys;
    std::map<std::string, std::pair<std::string, size_t>> mFreeSections;
  };

  /** Reads a file and returns its values or all of its errors, each with file, line, key, accepted
   * range and unit. An empty value of a key that is not required counts as not given. */
  tl::expected<Settings, std::vector<base::Error>> load(const std::string& aPath) const;
  /** Like load(), but reads aText; aName replaces the file name in errors. */
  tl::expected<Settings, std::vector<base::Error>> parse(std::string_view aText,
                                                         const std::string& aName) const;
  /** The settings reference: one Markdown table row for each key. */
  std::string reference() const;

private:
  Schema() = default;
  std::vector<Key> mKeys;
  std::map<std::string, std::pair<std::string, size_t>> mFreeSections;
};

} // namespace boragepitch::settings
