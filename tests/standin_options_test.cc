// The query strings that the stand-ins read.

#include "standins/standin_options.h"

#include <gtest/gtest.h>

namespace parsleyyard::standins {
namespace {

TEST(StandinQuery, NameThatEndsInThatOfAnotherIsAnotherParameter) {
  EXPECT_EQ(QueryValue("/a?not-after=1&after=2", "after"), "2");
  EXPECT_EQ(QueryValue("/a?not-after=1", "after"), "");
}

TEST(StandinQuery, ParameterNamedInAValueIsNone) {
  EXPECT_EQ(QueryValue("/a?key=after=1", "after"), "");
  EXPECT_EQ(QueryValue("/a?key=after=1", "key"), "after=1");
}

TEST(StandinQuery, EncodedPrefixNamesTheKeysOfTheStore) {
  EXPECT_EQ(QueryValue("/a?prefix=op%2Fevacuate%2F", "prefix"), "op/evacuate/");
  EXPECT_EQ(QueryValue("/a?prefix=%2", "prefix"), "%2");
  EXPECT_EQ(QueryValue("/a?prefix=%zz%2f", "prefix"), "%zz/");
}

TEST(StandinQuery, AbsentAndEmptyValuesAreEmpty) {
  EXPECT_EQ(QueryValue("/a", "after"), "");
  EXPECT_EQ(QueryValue("/a?", "after"), "");
  EXPECT_EQ(QueryValue("/a?after", "after"), "");
  EXPECT_EQ(QueryValue("/a?after=&wait-ms=5", "after"), "");
  EXPECT_EQ(QueryValue("/a?after=&wait-ms=5", "wait-ms"), "5");
}

}  // namespace
}  // namespace parsleyyard::standins
