// The smallest example of embedding the library: a worker's ledger limits requests and tasks to the capacity
// of the worker.
#include "poplarpitch/policy/worker_ledger.h"

#include <iostream>

int main() {
    poplarpitch::worker_ledger ledger(
        {.slots = 2, .millicores = 4000, .memory = 8LL << 30, .accelerators = 0});
    ledger.set_open(true); // its worker has reported everything that it runs

    const poplarpitch::resources request{.slots = 1, .millicores = 0, .memory = 0, .accelerators = 0};
    const poplarpitch::resources task{.slots = 0, .millicores = 3000, .memory = 4LL << 30, .accelerators = 0};
    std::cout << "first request: " << (ledger.try_acquire(1, request) ? "starts" : "waits") << "\n"
              << "second request: " << (ledger.try_acquire(2, request) ? "starts" : "waits") << "\n"
              << "third request: " << (ledger.try_acquire(3, request) ? "starts" : "waits") << "\n"
              << "task: " << (ledger.try_acquire(4, task) ? "starts" : "waits") << "\n"
              << "second task: " << (ledger.try_acquire(5, task) ? "starts" : "waits") << "\n";
    ledger.release(1);
    std::cout << "after the first request's end the third "
              << (ledger.try_acquire(3, request) ? "starts" : "waits") << "\n";
    return 0;
}
