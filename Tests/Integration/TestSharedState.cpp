#include "Deployment.h"

#include <catch2/catch.hpp>

using namespace Radishplank;
using namespace Radishplank::Test;
