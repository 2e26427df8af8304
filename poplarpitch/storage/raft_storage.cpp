#include "poplarpitch/storage/raft_storage_impl.h"

namespace poplarpitch {

template class raft_storage<posix_file_system>;

} // namespace poplarpitch
