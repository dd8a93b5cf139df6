#include "src/adapters/codec.h"
