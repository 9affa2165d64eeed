#define BOOST_TEST_MODULE UnitTests
#include <boost/test/included/unit_test.hpp>
