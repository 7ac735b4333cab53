#ifndef TESTS_SOAK_SOAK_PROCESS_H
#define TESTS_SOAK_SOAK_PROCESS_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

G_BEGIN_DECLS

/*
 * A program that the soak can start several times. Signals go only to its own
 * process id. The kernel kills it when the soak ends for any reason.
 */
struct soak_process;

struct soak_process *soak_process_create(const char *folder, const char *name);
void soak_process_destroy(struct soak_process *process);
bool soak_process_start(struct soak_process *process, const char *const *argv,
			struct error *error);
bool soak_process_await_line(struct soak_process *process, const char *start,
			     int64_t timeout_us, struct error *error);
bool soak_process_is_running(const struct soak_process *process);
void soak_process_signal(struct soak_process *process, int number);
void soak_process_kill(struct soak_process *process);
int soak_process_status(const struct soak_process *process);
pid_t soak_process_id(const struct soak_process *process);
const char *soak_process_log_path(const struct soak_process *process);

int64_t soak_process_resident_bytes(const struct soak_process *process);
int64_t soak_process_open_files(const struct soak_process *process);
int64_t soak_process_log_bytes(const struct soak_process *process);

G_END_DECLS

#endif
