//go:build cgo

package earlysignals

/*
#include <signal.h>

static void ignore_early_signals(void) {
	signal(SIGHUP, SIG_IGN);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, SIG_IGN);
	signal(SIGUSR2, SIG_IGN);
}

// The loader calls the functions in .preinit_array before the initializers of any library, and before the Go runtime starts.
__attribute__((section(".preinit_array"), used))
static void (*const ignore_before_initializers)(void) = ignore_early_signals;
*/
import "C"
