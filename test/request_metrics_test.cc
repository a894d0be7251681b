#include <gtest/gtest.h>

#include <string>

#include "mesh/request_metrics.h"

namespace
{

struct fixture {
	struct brf_metrics *metrics = brf_metrics_new();
	struct brf_request_metrics requests = {};

	~fixture()
	{
		brf_metrics_free(metrics);
	}

	void
	add(uint32_t rank, enum brf_request_end end, enum brf_reason reason,
	    uint64_t duration_us = 1000)
	{
		brf_request_metrics_add(&requests, metrics, "factors", rank,
		    end, reason, duration_us);
	}

	std::string
	text()
	{
		struct brf_buf out = {};
		std::string s;

		brf_metrics_write(metrics, &out);
		s.assign(out.data, out.len);
		brf_buf_free(&out);
		return (s);
	}

	bool
	has(const std::string &line)
	{
		return (text().find(line + "\n") != std::string::npos);
	}
};

} // namespace

TEST(request_metrics, requests_are_counted_by_class_end_and_reason)
{
	struct fixture c;

	c.add(0, BRF_REQUEST_SERVED, BRF_R_NONE);
	c.add(0, BRF_REQUEST_SERVED, BRF_R_NONE);
	c.add(2, BRF_REQUEST_NOT_RUN, BRF_R_OVERLOAD);
	EXPECT_TRUE(c.has("brf_requests_total{service=\"factors\",class=\"0\","
			  "end=\"served\",reason=\"none\"} 2"));
	EXPECT_TRUE(c.has("brf_requests_total{service=\"factors\",class=\"2\","
			  "end=\"not_run\",reason=\"overload\"} 1"));
	EXPECT_TRUE(c.has("brf_request_seconds_count{service=\"factors\","
			  "class=\"0\"} 2"));
}

TEST(request_metrics, disconnected_clients_have_no_latency)
{
	struct fixture c;

	c.add(1, BRF_REQUEST_DISCONNECTED, BRF_R_CANCELLED);
	EXPECT_EQ(c.text().find("brf_request_seconds"), std::string::npos);
}

/* Operators may use any number of ranks; ranks above 3 share class 3. */
TEST(request_metrics, number_of_classes_is_bounded)
{
	struct fixture c;

	for (uint32_t rank = 0; rank < 10000; rank++)
		c.add(rank, BRF_REQUEST_SERVED, BRF_R_NONE);
	EXPECT_TRUE(c.has("brf_requests_total{service=\"factors\",class=\"3\","
			  "end=\"served\",reason=\"none\"} 9997"));
	EXPECT_EQ(c.text().find("class=\"4\""), std::string::npos);
}
