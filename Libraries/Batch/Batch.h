#pragma once

/// Public header of the Batch library: durable batch jobs, split into shards that are processed
/// under a lease.

#include <Batch/ItemSet.h>
#include <Batch/ItemSplitter.h>
#include <Batch/JobLog.h>
#include <Batch/JobObjects.h>
#include <Batch/JobQueue.h>
#include <Batch/JobStore.h>
#include <Batch/LeaseObserver.h>
#include <Batch/ShardLease.h>
#include <Batch/SmallJob.h>
#include <Batch/Upload.h>
#include <Batch/UploadStore.h>
