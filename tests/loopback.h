#ifndef TESTS_LOOPBACK_H
#define TESTS_LOOPBACK_H

#include "core/base/counters.h"
#include "ports/sink.h"

#include <gio/gio.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

/* Runs the default main context until done, for a bounded number of turns. */
bool run_until(const std::function<bool()> &done);
void run_idle();

/* Lets cancelled calls return, so that nothing is left of them. */
void settle();

/* An event as it was delivered, with what it pointed to copied. */
struct recorded {
	enum event_type type;
	uint64_t number; /* call or attempt */
	bool flag;	 /* full, reached, replayed */
	int64_t first_token;
	int64_t token_count;
	int32_t status;
	enum attempt_stage stage;
	enum query_type query;
	struct load_report report;
	std::string text; /* body, chunk, generation, error detail */
	std::string name; /* operator, finish reason, content type, endpoint */
	struct request *request;
};

class Recorder
{
      public:
	~Recorder();
	struct event_sink sink();
	size_t count(enum event_type type) const;
	const recorded *last(enum event_type type) const;
	bool wait(enum event_type type, size_t n = 1) const;
	std::vector<recorded> events;
	std::function<void(const recorded &)> on_event;
};

/* One side of a TCP connection on loopback, never blocking. */
class Connection
{
      public:
	explicit Connection(GSocket *connected);
	static Connection *open(const std::string &address);
	~Connection();
	void send(const std::string &text);
	void read();
	bool wait_for(const std::string &part);
	bool wait_closed();
	void close();
	void reset();
	GSocket *socket;
	std::string input;
	std::string unsent;
	bool closed;
};

/* A listening socket on a free port of loopback. */
class Listener
{
      public:
	Listener();
	~Listener();
	std::string address() const;
	Connection *accept();
	void close();
	GSocket *socket;
};

#endif
