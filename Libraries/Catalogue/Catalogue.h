#pragma once

/// Public header of the Catalogue library: owners, entries and members, kept in step with the
/// store.

#include <Catalogue/CatalogueObjects.h>
#include <Catalogue/CatalogueSnapshot.h>
#include <Catalogue/ConfigurationReplica.h>
