#pragma once

/// Public header of the Catalogue library: owners, entries and cluster members, replicated from the
/// store.

#include <Catalogue/CatalogueObjects.h>
#include <Catalogue/CatalogueSnapshot.h>
#include <Catalogue/ConfigurationReplica.h>
