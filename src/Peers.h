#pragma once

/// \file Communication between entries over Cap'n Proto RPC.

#include "Peers/PeerNode.h"
