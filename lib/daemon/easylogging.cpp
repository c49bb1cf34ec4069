// Builds the implementation of easylogging++, which is shipped as source.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
