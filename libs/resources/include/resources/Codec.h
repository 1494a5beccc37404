#pragma once

#include <string_view>
#include <vector>

#include <json/value.h>

#include "base/Error.h"
#include "resources/Snapshot.h"

namespace boragepitch::resources {

/** True for [a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?. */
bool isValidName(std::string_view aName);
/** True for the kind names of docs/design.md, section 5.1. */
bool isKnownKind(std::string_view aKind);
/** All kind names, in alphabetical order. */
const std::vector<std::string_view>& allKinds();
/** Name of the kind that a spec belongs to. */
std::string_view kindOf(const Spec& aSpec);

/** {"kind","name","spec","resourceVersion"}; every field of the spec is written. */
Json::Value toJson(const Resource& aResource);
Json::Value specToJson(const Spec& aSpec);

/**
 * Parses strictly: unknown fields, wrong types, values out of range and invalid names are errors of
 * kind Invalid whose field is the path ("spec.urgency", "spec.calls[2].method"). "status" is
 * accepted and ignored, so that a resource can be written back as it was read. Returns the first
 * error; see findErrors() for all.
 */
base::Result<Resource> fromJson(const Json::Value& aValue);

/** Every error of one resource, in the order of its fields; empty when fromJson() succeeds. */
std::vector<base::Error> findErrors(const Json::Value& aValue);

} // namespace boragepitch::resources
