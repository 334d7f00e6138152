#include "chervilport/core/json_nesting.h"

#include <criterion/criterion.h>

using namespace chervilport;

// Guards against a depth that counts brackets within strings, or siblings.
Test(jsonNesting, countsOpenArraysAndObjectsOnly)
{
    cr_assert_not(isNestedDeeperThan(R"({"a":"[[[[","b":[[],[],{}],"c":"\"[[["})", 3));
    cr_assert(isNestedDeeperThan(R"({"a":"x","b":[[{}]]})", 3));
    cr_assert_not(isNestedDeeperThan("", 0));
    cr_assert_not(isNestedDeeperThan("]]]]\"[[", 0));
    cr_assert(isNestedDeeperThan("[", 0));
}
