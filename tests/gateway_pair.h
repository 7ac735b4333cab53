#ifndef TESTS_GATEWAY_PAIR_H
#define TESTS_GATEWAY_PAIR_H

#include "adapters/gateway/gateway_state.h"
#include "tests/loopback.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

/* An endpoint of a plain service or of engines on a free loopback port. */
class PairEndpoint
{
      public:
	explicit PairEndpoint(const std::string &id);
	~PairEndpoint();
	std::string id, address;
	std::map<std::string, int> runs; /* by request id */
	std::string seen;		 /* head of the last request */
	int events = 0; /* of an answer in events; 0: a plain answer */
	bool ignores_last_event = false;
	int breaks_after = 0; /* events, then the connection ends; 0: never */
	std::string says;     /* fields of all its answers, each with CR LF */
	std::string rest;     /* turns requests away, Retry-After; "": serves */
	int turned_away = 0;
	bool is_silent = false;
	int silence_ms = 0; /* before an answer, in which it does nothing */
	struct caller *unanswered = nullptr;
	int misdirected = 0; /* requests for another one at its address */
	int gone = 0;	     /* callers that left before their answer */
	std::map<void *, guint> late; /* callers that wait out a silence */
	struct caller_set *callers = nullptr;

	/* A request for this path ends the endpoint's process; "": none does.
	 */
	std::string deadly_path;
	bool begins_answer = false; /* of which a part comes before the end */

	/* A request with this part in its prompt ends the process, after that
	 * many events of its answer; "": none does. */
	std::string deadly_part;
	int events_before_end = 0;
	bool ends_by_close = false; /* answers have neither length nor chunks */
	bool ends_within_event = false; /* answers in events, their last one */
	std::string reset_path;		/* its connection breaks, no more */
	int ends = 0;
	int restart_ms = 100;
	bool gets_new_id = false; /* at each start */

	bool IsUp() const;
	void End();
	void Start();

      private:
	static gboolean OnEnd(gpointer data);
	static gboolean OnStart(gpointer data);
	struct listener *listener = nullptr;
	guint timer = 0;
};

/* How a node's new connections to an endpoint fail. */
enum pair_cut { CUT_REFUSED, CUT_SILENT };

/* A loopback address at which connections fail. */
class DeadAddress
{
      public:
	explicit DeadAddress(enum pair_cut cut);
	~DeadAddress();
	std::string address;

      private:
	std::vector<int> sockets;
};

/*
 * Several gateways in one process, on loopback, that exchange messages within
 * ms. Each has its own registry, so that it alone may be cut from an endpoint.
 */
class GatewayPair : public testing::Test
{
      protected:
	struct node {
		GatewayPair *test;
		std::string name, address, peer_address;
		struct membership *members;
		struct gateway *gateway;
		struct counters counters;
	};

	void Create(size_t count);
	void TearDown() override;

	/* Endpoints as the node reaches them: id to address. */
	void Register(size_t node, const std::string &service,
		      const std::map<std::string, std::string> &endpoints,
		      bool is_leaving = false);

	/* Removes the entry of an endpoint that has left. */
	void Unregister(size_t node, const std::string &id);

	/* Registers the endpoint's start at all nodes, unless that is done. The
	 * entry of the start before stays until the next one; none says when
	 * its start was born. */
	void RegisterStart(const std::string &service,
			   const PairEndpoint &endpoint);
	void RemoveOldEntries();

	/* Status of one request, and the whole answer in *text. */
	int Ask(size_t node, const std::string &path, const std::string &id,
		std::string *text = nullptr, const std::string &fields = "",
		const std::string &body = "body");
	void Wait(int ms);

	std::vector<std::unique_ptr<struct node>> nodes;
	int64_t home_from_nodes = 16;	/* fewer nodes choose by themselves */
	int64_t max_connections = 1000; /* of callers, at each node */
	int64_t retry_extra = 60;	/* retries in 10 s, of six nodes */
	int32_t slots = 24;	      /* streams that an engine runs at once */
	int64_t max_answer_bytes = 0; /* of an answer's body; 0: any */
	int64_t memory_bytes = 0;     /* of each node; 0: any */
	int64_t timeout_us = 2500000; /* of all routes */
	bool moves = false;	      /* engines copy runs to each other */
	int64_t copy_keep_us = 0;     /* that the service states; 0: none */
	bool backs_up = false;	  /* engines keep copies of each other's runs */
	bool loses_reach = false; /* what nodes say of their reach is lost */
	int deaf_node = -1;	  /* gets no records; -1: none */
	int64_t position = 2;	  /* the same, so that none overrules another */
	struct log *log = log_create(
		"test", getenv("PAIR_LOG") ? LOG_LEVEL_INFO : LOG_LEVEL_ERROR);
	bool holds_messages = false; /* between nodes, until it is reset */
	uint64_t seed = 0;
	uint32_t starts = 0; /* of nodes, each with a seed of its own */

      private:
	struct sent_message {
		std::vector<std::string> to;
		struct peer_message *message;
	};

	static gboolean Deliver(gpointer data);
	static gboolean Probe(gpointer data);
	static void on_send(void *data, const GPtrArray *addresses,
			    struct peer_message *message);
	static struct peer_message *on_message(void *data,
					       enum peer_message_type type);
	static const struct membership *on_members(void *data);
	void Join(struct node *node);
	void ApplyRoutes(struct node *node);
	void RemoveOldest(std::vector<std::string> *ids);

	std::map<std::string, std::vector<std::string>> entries;

	std::vector<struct sent_message> sent;
	guint delivery = 0;
	guint probes = 0;
};

#endif
