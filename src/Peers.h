#pragma once

/// \file Calls between entries over Cap'n Proto RPC.

#include "Peers/PeerNode.h"
