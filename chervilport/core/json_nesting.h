#pragma once

#include <cstddef>
#include <string_view>

namespace chervilport {

/// Returns whether arrays and objects of a JSON text are nested deeper than `maxDepth`. A parser needs many times the
/// bytes of such a text, so the check comes before it. Text that is not JSON has no defined depth.
bool isNestedDeeperThan(std::string_view json, std::size_t maxDepth);

} // namespace chervilport
