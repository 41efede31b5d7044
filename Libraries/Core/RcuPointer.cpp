#include <Core/RcuPointer.h>

#include <urcu/urcu-memb.h>

namespace Radishplank {

namespace {

struct ThreadRegistration
{
    ThreadRegistration() { urcu_memb_register_thread(); }
    ~ThreadRegistration() { urcu_memb_unregister_thread(); }
    ThreadRegistration(const ThreadRegistration &) = delete;
    ThreadRegistration &operator=(const ThreadRegistration &) = delete;
};

void registerThread()
{
    thread_local const ThreadRegistration registration;
    (void)registration;
}

} // namespace

RcuReadSection::RcuReadSection()
{
    registerThread();
    urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection()
{
    urcu_memb_read_unlock();
}

void waitForRcuReaders()
{
    urcu_memb_synchronize_rcu();
}

} // namespace Radishplank
