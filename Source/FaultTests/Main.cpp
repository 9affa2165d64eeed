#define BOOST_TEST_MODULE FaultTests
#include <boost/test/included/unit_test.hpp>
